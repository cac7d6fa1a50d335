//===- HttpTypes.h - Requests and replies as values -------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_NET_HTTPTYPES_H
#define SHALLOTSHIFT_NET_HTTPTYPES_H

#include "shallotshift/base.h"

#include <string>
#include <string_view>
#include <vector>

namespace shallot {

/// Whether a library may send a request again by itself.
enum class Repeat : std::uint8_t {
  Idempotent,
  Never, ///< An action: at most one copy may ever leave this process.
};

/// The content coding (RFC 9110) in which daemons send each other large bodies.
inline constexpr char DeflateCoding[] = "deflate";

/// The longest that a reply may take that comes piece by piece: 4 MB, the
/// largest that is taken, on a third of a link of 14 Mbit/s.
inline constexpr Duration LongestReply = Seconds(8);

/// A request that we send.
struct HttpRequest {
  std::string Method = "GET";
  Endpoint To;
  std::string Path = "/"; ///< With its query string.
  HttpHeaders Headers;
  std::string Body;
  Duration Timeout = Seconds(1); ///< For the whole transfer, without Stall.
  /// For replies that may be large. When it is set, Timeout ends with the first
  /// byte of the reply; from then on the reply is waited for while it comes: it
  /// fails when nothing came for this long, or after LongestReply.
  ///
  /// The failure: a reply of 0.7 MB takes longer on a small or full link than
  /// any time that notices a dead sender soon. Given that time for the whole,
  /// each try ends short of it, and the next begins anew.
  Duration Stall{0};
  Duration ConnectTimeout = Millis(250);
  /// The body of the reply may come deflated. It is handed over as it was.
  bool AcceptDeflated = false;
  Repeat Rule = Repeat::Idempotent;
};

/// What came back. Failure is Ok whenever a whole HTTP reply arrived, whatever
/// its status; else ConnectFailed (nothing was sent), ConnectionClosed,
/// TransferTimeout, UpstreamBadReply or Cancelled.
struct HttpReply {
  ResultCode Failure = ResultCode::Ok;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
  Duration Took{0};
  std::size_t ReceivedBytes = 0; ///< Of the body, as it came: deflated or not.
  bool NewConnection = false;    ///< A connection was opened for it.
  bool TooLarge = false;         ///< Given up for its size: UpstreamBadReply.

  bool arrived() const { return Failure == ResultCode::Ok; }
};

/// A request that came to us. Peer is the address of the other end.
struct ServerRequest {
  std::string Method;
  std::string Path; ///< Without the query string.
  std::string Query;
  HttpHeaders Headers;
  std::string Body;
  std::string Peer;
};

struct ServerReply {
  int Status = 200;
  HttpHeaders Headers;
  std::string ContentType = "application/json";
  std::string Body;
  bool CloseConnection = false;
};

} // namespace shallot

#endif // SHALLOTSHIFT_NET_HTTPTYPES_H
