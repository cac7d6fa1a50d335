//===- TcpOptions.h - Noticing that the other end is lost -------*- C++ -*-===//
//
// A path that has lost track of a connection drops its packets and tells
// nobody: both ends see an open connection on which nothing comes. The kernel
// can notice, where it is asked to.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_TCPOPTIONS_H
#define SHALLOTSHIFT_NET_TCPOPTIONS_H

namespace shallot {

/// Sends probes on a connection that is quiet for this long, in seconds.
inline constexpr int KeepAliveIdleSeconds = 5;
inline constexpr int KeepAliveIntervalSeconds = 1;
inline constexpr int KeepAliveProbes = 3;
/// Data or probes that stay unacknowledged for this long end the connection.
/// Above a few retransmissions between two regions (16 ms a round trip).
inline constexpr int UnackedMillis = 3000;

/// Lets the kernel end connection \p Fd when the other end is lost: in 3 s
/// while data is under way, in about 8 s while it is quiet. It can't help when
/// a middle box still acknowledges; there the transfer's own timeout decides.
void noticeLostPeer(int Fd);

} // namespace shallot

#endif // SHALLOTSHIFT_NET_TCPOPTIONS_H
