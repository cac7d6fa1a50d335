cmake_minimum_required(VERSION 3.25)
# Refuses the users' wire names outside of platform/: a name that leaks into the
# product ties its decisions to one deployment's words.
# Run with -DROOT=the repository.
# As string literals; X-Request-Id and the like are names of our own interface.
set(NAMES "Request-Id|Deadline-Ms|Target-Instance|Server-Stamp|Server-Load")
string(APPEND NAMES "|Not-Executed|Part-Stamps|Missing-Parts|stale_ok")
string(APPEND NAMES "|fan_out_services|min_shard_share|path_prefix|current_rev")
string(APPEND NAMES "|warmup_left_ms|target_latency_ms|max_attempts|top_k")
file(GLOB_RECURSE FILES ${ROOT}/packages/*.h ${ROOT}/packages/*.cpp
     ${ROOT}/programs/*.cpp ${ROOT}/apps/*.cpp ${ROOT}/apps/*.h)
set(BAD "")
foreach(FILE ${FILES})
  file(STRINGS ${FILE} LINES REGEX "\"(${NAMES})\"")
  foreach(LINE ${LINES})
    list(APPEND BAD "${FILE}: ${LINE}")
  endforeach()
endforeach()
if(BAD)
  list(JOIN BAD "\n  " TEXT)
  message(FATAL_ERROR "the users' names outside of platform/:\n  ${TEXT}")
endif()
