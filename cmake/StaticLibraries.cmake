# Links libraries into the programs where they are installed as archives: each
# shared library lengthens the time until a program has actions for signals
# (net/ProcessGuard.h).
#
#   shallot_archives(shallot_capnp FILES libcapnp.a libkj.a OR CapnProto::capnp)
#
# declares a target for the archives, in the order in which they are linked, or
# for the target after OR where one of them is not installed.
function(shallot_archives NAME)
  cmake_parse_arguments(A "" "OR" "FILES" ${ARGN})
  add_library(${NAME} INTERFACE)
  foreach(FILE ${A_FILES})
    find_library(ARCHIVE_${FILE} NAMES ${FILE})
    if(NOT ARCHIVE_${FILE})
      target_link_libraries(${NAME} INTERFACE ${A_OR})
      return()
    endif()
    list(APPEND FOUND ${ARCHIVE_${FILE}})
  endforeach()
  target_link_libraries(${NAME} INTERFACE ${FOUND})
endfunction()

shallot_archives(shallot_capnp OR CapnProto::capnp-rpc
  FILES libcapnp-rpc.a libcapnp.a libkj-async.a libkj.a)
shallot_archives(shallot_http_parser OR http_parser FILES libhttp_parser.a)
shallot_archives(shallot_xxhash OR xxhash FILES libxxhash.a)
