shallot_test(http1_correctness PACKAGES http1 LABELS correctness
  SOURCES correctness/MessagesAsBytes.cpp)
shallot_test(http1_failure PACKAGES http1 LABELS failure
  SOURCES failure/BrokenReplies.cpp failure/BytesStayInOrder.cpp
          failure/CallersLeave.cpp
          failure/ConnectionsAreFreed.cpp failure/FaultsCostOneEvent.cpp
          failure/MessagesWithoutEnd.cpp
          failure/RepliesBeforeTheBodyIsRead.cpp
          failure/ProcessesThatEndAreTold.cpp failure/RepliesWithoutLength.cpp
          failure/StrayBytesBelongToNobody.cpp)
shallot_test(http1_error PACKAGES http1 LABELS error
  SOURCES error/BrokenRequests.cpp)
