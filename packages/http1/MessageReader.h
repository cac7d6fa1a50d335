//===- MessageReader.h - Whole HTTP/1.1 messages from bytes -----*- C++ -*-===//
//
// Cuts a connection's bytes into messages, one after another; it stops at the
// end of each, so that bytes behind it are never taken for a part of it. What a
// message is, base/HttpHead.h decides.
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

#include <string_view>

namespace shallot::internal {

/// A message as it came, without trailers.
struct Message : HttpHead {
  std::string Body;
  bool KeepAlive = false; ///< The connection may carry another message.
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
  /// Why the message is malformed, with the value that was wrong.
  const std::string &fault() const { return Fault; }
  /// The length of the body is known before it has come.
  bool lengthKnown() const { return head().End == MessageEnd::Length; }
  /// Memory that the message takes so far, in bytes.
  std::size_t heldBytes() const {
    return Body.capacity() + Line.capacity() +
           head().Headers.capacity() * sizeof(HttpHeader) + HeaderBytes;
  }
  /// The whole message; the reader is then ready for the next.
  Message take();
  /// What is known so far: the headers are in for Body.
  const HttpHead &head() const { return Parser.head(); }
  /// A reply to HEAD has headers like another, but no body.
  void expectNoBody() { Parser.expectNoBody(); }
  void setLimits(MessageLimits L) { Limits = L; }

private:
  /// What the next bytes are.
  enum class Part : std::uint8_t {
    Head,
    Bytes, ///< Left of them, of the body or of a chunk.
    ToClose,
    ChunkSize,
    ChunkEnd,
    Trailers,
  };

  std::size_t readLine(std::string_view Bytes);
  std::size_t readBody(std::string_view Bytes);
  void checkPart(std::string_view Added);
  void readWholeLine(std::string_view Text);
  void readField(std::string_view Text);
  void readChunkSize(std::string_view Text);
  void beginBody();
  void expect(std::uint64_t Size);
  bool count(std::size_t Size);
  void malformed(std::string_view Why);
  bool reading() const {
    return State == ReadState::Waiting || State == ReadState::Headers ||
           State == ReadState::Body;
  }

  MessageKind Kind;
  MessageLimits Limits;
  HttpHeadParser Parser;
  ReadState State = ReadState::Waiting;
  Part Next = Part::Head;
  std::uint64_t Left = 0; ///< For Part::Bytes.
  std::string Line; ///< The beginning of a line whose end is not here yet.
  std::string Body;
  std::size_t HeaderBytes = 0; ///< Of head, trailers and chunk extensions.
  std::string Fault;
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_HTTP1_MESSAGEREADER_H
