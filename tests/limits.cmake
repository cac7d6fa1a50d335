shallot_test(limits_correctness PACKAGES limits LABELS correctness
  SOURCES SingleQueueAdmission.cpp correctness/AdmissionEndsEveryEntry.cpp
          correctness/AdmissionWithoutOrganisations.cpp
          correctness/TallyIsBounded.cpp correctness/PromisesAreKept.cpp correctness/WaitingIsFair.cpp
          correctness/AllocationIsBalancedAndStable.cpp
          correctness/ExtraWorkIsBounded.cpp
          correctness/SlotQueueServesTheUrgent.cpp
          correctness/SlotsAreAllocatedOnce.cpp)
shallot_test(limits_failure PACKAGES limits LABELS failure
  SOURCES failure/ReturnsAreSpread.cpp failure/GrantedSharesChangeHands.cpp
          failure/SlotsChangeHands.cpp)
shallot_test(limits_performance PACKAGES limits LABELS performance
  SOURCES SingleQueueAdmission.cpp performance/SharesOverTheFleet.cpp
          performance/SharesUnderOverload.cpp)
shallot_test(quota_failure PACKAGES limits store peer LABELS failure
  SOURCES QuotaFleet.cpp failure/QuotasHoldInEveryWindow.cpp)
shallot_test(quota_return PACKAGES limits store peer LABELS failure
  SOURCES QuotaFleet.cpp failure/QuotasReturn.cpp)
add_test(NAME quota_return_large COMMAND quota_return --no-skip
         "--test-case=81 daemons*")
set_tests_properties(quota_return_large PROPERTIES LABELS failure
                     TIMEOUT ${SHALLOT_TEST_SECONDS})

shallot_test(quota_model_check PACKAGES limits LABELS correctness
  SOURCES QuotaWorld.cpp correctness/QuotaModelCheck.cpp)
add_test(NAME quota_model_doubt COMMAND quota_model_check --no-skip
         "--test-case=*taken for failed*")
set_tests_properties(quota_model_doubt PROPERTIES LABELS correctness
                     TIMEOUT ${SHALLOT_TEST_SECONDS})
set_tests_properties(quota_model_check quota_model_doubt PROPERTIES PROCESSORS 3)

shallot_bench(bench_overload PACKAGES limits TEST bench_overload
  SOURCES performance/BenchOverload.cpp performance/OverloadModel.cpp)
shallot_bench(bench_quotas PACKAGES limits forward store peer TEST bench_quotas
  SOURCES QuotaFleet.cpp performance/BenchQuotas.cpp)
shallot_bench(bench_allotment PACKAGES limits TEST bench_allotment
  SOURCES performance/BenchSlotAllocation.cpp)
