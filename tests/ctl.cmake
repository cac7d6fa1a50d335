shallot_test(ctl_correctness PACKAGES ctl LABELS correctness
  SOURCES correctness/ShallotctlSession.cpp
  LIBRARIES standin_core)
shallot_test(ctl_error PACKAGES ctl LABELS error
  SOURCES error/CommandLineIsChecked.cpp)
