shallot_test(crashguard_failure PACKAGES crashguard LABELS failure
  SOURCES failure/QuarantineWritesAreBounded.cpp
          failure/RecordsShareOneObject.cpp)
shallot_test(crashguard_error PACKAGES crashguard LABELS error
  SOURCES error/RecordDocumentsAreChecked.cpp)
shallot_bench(bench_quarantine PACKAGES crashguard TEST bench_quarantine
  SOURCES performance/BenchQuarantine.cpp)
