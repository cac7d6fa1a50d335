//===- Linger.h - Lets a last reply arrive ----------------------*- C++ -*-===//
//
// Closing a socket that holds unread bytes makes the kernel send a reset, and
// the reset overtakes the reply: a caller whose body was too large would see
// "connection reset" in place of the 413. So the sending side is closed first,
// what still comes is read and thrown away for a while, and then it is closed.
//
// This header is not for other packages.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_LINGER_H
#define SHALLOTSHIFT_NET_LINGER_H

#include <asio/ip/tcp.hpp>
#include <functional>

namespace shallot::internal {

/// How long and how much is thrown away; enough for a caller on a slow line to
/// see the reply and stop, too little to be worth holding.
inline constexpr int LingerMillis = 2000;
inline constexpr std::size_t LingerBytes = 8 << 20;

/// Takes over \p Socket; calls \p Closed when it is gone.
void lingerAndClose(asio::ip::tcp::socket Socket, std::function<void()> Closed);

} // namespace shallot::internal

#endif // SHALLOTSHIFT_NET_LINGER_H
