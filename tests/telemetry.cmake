shallot_test(telemetry_correctness PACKAGES telemetry LABELS correctness
  SOURCES correctness/TelemetryMetrics.cpp
          correctness/TelemetryLogLines.cpp)
shallot_test(telemetry_error PACKAGES telemetry LABELS error
  SOURCES error/TelemetryHostileNames.cpp)
