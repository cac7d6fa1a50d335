# Declares one package of the workspace.
#
#   shallot_package(query CORE DEPENDS base model SOURCES Foo.cpp ...)
#
# A package is a flat folder packages/NAME with one public header
# packages/NAME/include/shallotshift/NAME.h. CORE marks a package that does no
# input or output; the layering check then also refuses sockets, files, clocks
# and threads in it.
set(SHALLOT_PACKAGE_ROOT ${CMAKE_SOURCE_DIR}/packages)

function(shallot_package NAME)
  cmake_parse_arguments(P "CORE" "" "DEPENDS;SOURCES;LIBRARIES" ${ARGN})
  add_library(shallot_${NAME} STATIC ${P_SOURCES})
  target_include_directories(shallot_${NAME}
    PUBLIC ${SHALLOT_PACKAGE_ROOT}/${NAME}/include ${SHALLOT_PACKAGE_ROOT})
  foreach(DEP ${P_DEPENDS})
    target_link_libraries(shallot_${NAME} PUBLIC shallot_${DEP})
  endforeach()
  target_link_libraries(shallot_${NAME} PUBLIC ${P_LIBRARIES} Threads::Threads)
  add_custom_target(layering_${NAME}
    COMMAND ${CMAKE_COMMAND} -DNAME=${NAME} "-DDEPENDS=${P_DEPENDS}"
            -DCORE=${P_CORE} -DROOT=${SHALLOT_PACKAGE_ROOT}
            -P ${CMAKE_SOURCE_DIR}/cmake/CheckLayering.cmake
    VERBATIM)
  add_dependencies(shallot_${NAME} layering_${NAME})
endfunction()

# How long a test may run before CTest ends it, in seconds. The slowest needs
# about 12 s of processor time alone, so this leaves room for a busy machine and
# still names a test that hangs while someone waits. Sanitizers are up to ten
# times slower.
if(SHALLOT_SANITIZE)
  set(SHALLOT_TEST_SECONDS 900)
else()
  set(SHALLOT_TEST_SECONDS 120)
endif()

# Declares one test program: shallot_test(NAME PACKAGES a b SOURCES x.cpp ...)
# Every test is a doctest program run by CTest under the given labels.
function(shallot_test NAME)
  cmake_parse_arguments(T "" "" "PACKAGES;SOURCES;LABELS;LIBRARIES" ${ARGN})
  add_executable(${NAME} ${T_SOURCES})
  foreach(DEP ${T_PACKAGES})
    target_link_libraries(${NAME} PRIVATE shallot_${DEP})
  endforeach()
  target_link_libraries(${NAME} PRIVATE ${T_LIBRARIES} shallot_test_main)
  target_include_directories(${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  add_test(NAME ${NAME} COMMAND ${NAME})
  set_tests_properties(${NAME} PROPERTIES LABELS "${T_LABELS}"
                       TIMEOUT ${SHALLOT_TEST_SECONDS})
endfunction()

# Declares one program that prints figures of performance:
#
#   shallot_bench(bench_peer PACKAGES peer SOURCES x.cpp TEST bench_peer)
#
# With TEST it also judges bounds that hold on any machine, and CTest runs it
# under that name with ARGUMENTS.
function(shallot_bench NAME)
  cmake_parse_arguments(B "" "TEST" "PACKAGES;SOURCES;ARGUMENTS" ${ARGN})
  add_executable(${NAME} ${B_SOURCES})
  list(TRANSFORM B_PACKAGES PREPEND shallot_)
  target_link_libraries(${NAME} PRIVATE ${B_PACKAGES})
  target_include_directories(${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  if(B_TEST)
    add_test(NAME ${B_TEST} COMMAND ${NAME} ${B_ARGUMENTS})
    set_tests_properties(${B_TEST} PROPERTIES LABELS performance
                         TIMEOUT ${SHALLOT_TEST_SECONDS})
  endif()
endfunction()
