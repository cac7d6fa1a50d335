shallot_test(quarantine_correctness PACKAGES quarantine LABELS correctness
  SOURCES correctness/QuarantineRecordsAreMerged.cpp)
shallot_test(quarantine_failure PACKAGES quarantine LABELS failure
  SOURCES failure/CrashesAreCountedOnce.cpp
          failure/RestoredRecordsAreWrittenAgain.cpp
          failure/TrialsAreBoundedInTheFleet.cpp)
shallot_test(quarantine_error PACKAGES quarantine LABELS error
  SOURCES error/QuarantineRecordsAreChecked.cpp)
