//===- MessageReader.h - Whole HTTP/1.1 messages from bytes -----*- C++ -*-===//
//
// Joins http_parser, the parser that RESTinio is built on, to values. One
// reader reads one message after another from one connection; it stops at the
// end of each, so that bytes behind it are never taken for a part of it.
//
// Why not RESTinio and libcurl on this path: RESTinio does not read while a
// request is being handled, so a caller that leaves is not seen and its work
// goes on; libcurl sends again by itself when a kept connection closes,
// rewrites paths, and cannot tell whether bytes have left. Each of these breaks
// a promise of forwarding (docs/design/forwarding.md).
//
// This header is not for other packages.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_HTTP1_MESSAGEREADER_H
#define SHALLOTSHIFT_HTTP1_MESSAGEREADER_H

#include "shallotshift/base.h"

#include <http_parser.h>
#include <optional>
#include <string_view>

namespace shallot::internal {

enum class MessageKind : std::uint8_t { Request, Reply };

/// A message as it came. Method and Target are of a request, Status of a reply.
struct Message {
  std::string Method;
  std::string Target;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
  bool KeepAlive = false; ///< The connection may carry another message.
  bool Http10 = false;
};

struct MessageLimits {
  std::size_t MaxHeaderBytes = 64 << 10;
  std::size_t MaxBodyBytes = 16 << 20;
};

enum class ReadState : std::uint8_t {
  Waiting, ///< Nothing of the next message has come.
  Headers, ///< In the middle of the start line or the headers.
  Body,
  Whole,
  Malformed,
  HeadersTooLarge,
  BodyTooLarge,
};

class MessageReader {
public:
  MessageReader(MessageKind Kind, MessageLimits Limits);
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  /// Reads on and returns how many bytes belong to this message; fewer than
  /// there are when it is whole or cannot be read.
  std::size_t feed(std::string_view Bytes);
  /// The other end closed in order. A reply without a length is whole then.
  void feedEnd();

  ReadState state() const { return State; }
  /// The length of the body is known before it has come.
  bool lengthKnown() const { return LengthKnown; }
  /// Memory that the message takes so far, in bytes.
  std::size_t heldBytes() const {
    return M.Body.capacity() + M.Headers.capacity() * sizeof(HttpHeader) +
           HeaderBytes;
  }
  /// The whole message; the reader is then ready for the next.
  Message take();
  /// What is known so far: the headers are in for Body.
  const Message &soFar() const { return M; }
  /// A reply to HEAD has headers like another, but no body.
  void expectNoBody() { NoBody = true; }
  void setLimits(MessageLimits L) { Limits = L; }

private:
  static int onStart(http_parser *P);
  static int onTarget(http_parser *P, const char *At, std::size_t Size);
  static int onField(http_parser *P, const char *At, std::size_t Size);
  static int onValue(http_parser *P, const char *At, std::size_t Size);
  static int onHeaders(http_parser *P);
  static int onBody(http_parser *P, const char *At, std::size_t Size);
  static int onWhole(http_parser *P);
  static const http_parser_settings &callbacks();
  static MessageReader &of(http_parser *P) {
    return *static_cast<MessageReader *>(P->data);
  }

  bool headerBytes(std::size_t More);
  void reset();

  MessageKind Kind;
  MessageLimits Limits;
  http_parser Parser{};
  ReadState State = ReadState::Waiting;
  Message M;
  std::size_t HeaderBytes = 0;
  unsigned Interims = 0; ///< 1xx replies before this one.
  bool LengthKnown = false;
  bool InValue = false;
  bool NoBody = false;
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_HTTP1_MESSAGEREADER_H
