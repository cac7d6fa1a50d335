shallot_test(base_correctness PACKAGES base LABELS correctness
  SOURCES correctness/NamesAreChecked.cpp
          correctness/QueryTextIsEscaped.cpp
          correctness/ResultCodesAreStable.cpp)
target_compile_definitions(base_correctness
  PRIVATE SHALLOT_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
