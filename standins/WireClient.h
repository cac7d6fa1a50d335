//===- WireClient.h - An HTTP client that hides nothing ---------*- C++ -*-===//
//
// A caller for tests. libcurl sends a request again by itself when a kept
// connection closes before the reply, so a load driver on top of it would not
// see that its request was cut off. This client sends each request once, on a
// kept connection where there is one, and reports exactly what came of it.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_WIRECLIENT_H
#define SHALLOTSHIFT_STANDINS_WIRECLIENT_H

#include "shallotshift/net.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallot::standins {

enum class WireOutcome : std::uint8_t {
  Answered,
  ConnectFailed, ///< Nothing was sent.
  CutOff,        ///< The connection closed before the reply was whole.
  NoAnswer,      ///< The time ran out.
};

struct WireAnswer {
  WireOutcome Outcome = WireOutcome::Answered;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
};

struct WireCall {
  std::string Method = "GET";
  Endpoint To;
  std::string Path = "/";
  HttpHeaders Headers;
  std::string Body;
  Duration Timeout = Seconds(5);
};

class WireClient {
public:
  using Callback = std::function<void(WireAnswer)>;

  explicit WireClient(asio::io_context &Io) : Io(Io) {}

  void send(const WireCall &Call, Callback Done);
  std::uint64_t connectionsOpened() const { return Opened; }

private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void release(const ConnectionPtr &C);
  void forget(const ConnectionPtr &C);

  asio::io_context &Io;
  std::map<Endpoint, std::vector<ConnectionPtr>> Idle;
  std::uint64_t Opened = 0;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_WIRECLIENT_H
