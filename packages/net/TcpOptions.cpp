//===- TcpOptions.cpp -----------------------------------------------------===//
#include "net/TcpOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace shallot {

namespace {

/// A kernel that lacks one of the options still gives working connections, so
/// a failure is no reason to refuse one.
void setInt(int Fd, int Level, int Option, int Value) {
  (void)::setsockopt(Fd, Level, Option, &Value, sizeof(Value));
}

} // namespace

void noticeLostPeer(int Fd) {
  setInt(Fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setInt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setInt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setInt(Fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setInt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UnackedMillis);
}

} // namespace shallot
