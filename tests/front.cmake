shallot_test(front_correctness PACKAGES front LABELS correctness
  SOURCES TestMain.cpp correctness/EntryAddressesForCallers.cpp
          correctness/FeedWordsSurviveTheWire.cpp)
shallot_test(front_failure PACKAGES front LABELS failure
  SOURCES TestMain.cpp failure/FeedSourcesFailOver.cpp
          failure/CatchUpIsPatient.cpp
          failure/QuarantineWritesAreBounded.cpp
          failure/WordsDoNotCircle.cpp)
shallot_test(front_error PACKAGES front LABELS error
  SOURCES TestMain.cpp error/FrontSettingsAreChecked.cpp)
