shallot_test(quarantine_correctness PACKAGES quarantine LABELS correctness
  SOURCES TestMain.cpp correctness/QuarantineRecordsAreMerged.cpp)
shallot_test(quarantine_failure PACKAGES quarantine LABELS failure
  SOURCES TestMain.cpp failure/CrashesAreCountedOnce.cpp
          failure/TrialsAreBoundedInTheFleet.cpp)
shallot_test(quarantine_error PACKAGES quarantine LABELS error
  SOURCES TestMain.cpp error/QuarantineRecordsAreChecked.cpp)
