shallot_test(model_correctness PACKAGES model LABELS correctness
  SOURCES correctness/DocumentsRoundTrip.cpp
          correctness/DraftsAreEdited.cpp)
shallot_test(model_error PACKAGES model LABELS error
  SOURCES error/InvalidDocumentsAreRejected.cpp
          error/HostileInputIsRejected.cpp
          error/UnreadableValuesAreLost.cpp)
