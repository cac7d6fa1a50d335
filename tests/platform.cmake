# The adapter and whole daemons in the deployment's wire form.
shallot_test(platform_correctness PACKAGES platform LABELS correctness
  SOURCES TestMain.cpp FrontBed.cpp correctness/FrontServesADeployment.cpp
          correctness/WireObjectsAreRead.cpp)
