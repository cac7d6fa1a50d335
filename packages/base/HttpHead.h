//===- HttpHead.h - The rule for heads of HTTP/1.1 messages -----*- C++ -*-===//
//
// Decides which bytes are the head of a message (RFC 9110, RFC 9112): its start
// line, its fields, and how its body ends. Every reader of messages gives its
// lines to an HttpHeadParser, whoever cuts the bytes into lines: what one
// reader refuses, all do. chunkSize() has the rule for the lines between
// chunks.
//
// Where the RFCs leave it to the recipient, these are accepted: a line that
// ends with LF alone, a status line without the blank behind its status, folded
// lines (joined by one blank). These are refused: several lengths, also equal
// ones, and transfer codings other than chunked.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_HTTPHEAD_H
#define SHALLOTSHIFT_BASE_HTTPHEAD_H

#include "base/HttpHeader.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace shallot {

enum class MessageKind : std::uint8_t { Request, Reply };

/// Where a message ends (RFC 9112, 6.3).
enum class MessageEnd : std::uint8_t {
  Head,   ///< Behind its head: it has no body.
  Length, ///< After HttpHead::Length bytes of body.
  Chunks, ///< After the last chunk and the trailers.
  Close,  ///< With its connection.
};

/// The head of one message. Method and Target are of a request, Status of a
/// reply.
struct HttpHead {
  std::string Method;
  std::string Target;
  int Status = 0;
  bool Http10 = false;
  HttpHeaders Headers;
  MessageEnd End = MessageEnd::Head;
  std::uint64_t Length = 0; ///< Bytes of the body, for MessageEnd::Length.

  friend bool operator==(const HttpHead &, const HttpHead &) = default;
};

/// Reads the lines of one message's head, and those of its trailers.
class HttpHeadParser {
public:
  explicit HttpHeadParser(MessageKind Kind) : Kind(Kind) {}

  /// A reply to HEAD ends with its head, whatever its fields say.
  void expectNoBody() { NoBody = true; }

  /// Reads the next line. \p Line has its line end. False when the message is
  /// broken, for which fault() has the reason.
  bool line(std::string_view Line);
  /// False when no start line begins with \p Part, for which fault() has the
  /// reason. Other lines may begin with anything.
  bool mayBegin(std::string_view Part);

  /// The head is read to its end. Lines that follow are trailers, which are
  /// checked and dropped: RFC 9110, 6.5.1, forbids to merge them into the head.
  bool whole() const { return State >= Place::Trailers; }
  /// The empty line behind the trailers was read.
  bool trailersEnded() const { return State == Place::End; }

  /// What was read so far; complete once whole() is true.
  const HttpHead &head() const { return Head; }
  HttpHead takeHead() { return std::move(Head); }
  /// Lines of fields that were read: of the head, of 1xx heads before it and of
  /// the trailers.
  std::size_t fieldLines() const { return FieldLines; }
  /// What was wrong and with which value; empty while nothing was.
  const std::string &fault() const { return Fault; }

private:
  enum class Place : std::uint8_t { StartLine, Fields, Trailers, End };

  bool refuse(std::string_view Reason, std::string_view Value);
  bool startLine(std::string_view Text);
  bool statusLine(std::string_view Text);
  bool requestLine(std::string_view Text);
  bool version(std::string_view Text);
  bool fieldLine(std::string_view Text);
  bool endFields();
  bool readFraming();
  bool readCoding();
  bool readLength(std::string_view Value);

  MessageKind Kind;
  Place State = Place::StartLine;
  bool NoBody = false;
  bool FieldSeen = false; ///< In this head or these trailers.
  std::size_t FieldLines = 0;
  unsigned Interims = 0; ///< Replies of class 1xx before this one.
  HttpHead Head;
  std::string Fault;
};

/// True when field \p Name of \p Headers has the element \p Token (any case) in
/// its comma-separated list, on any of its lines.
bool hasListElement(const HttpHeaders &Headers, std::string_view Name,
                    std::string_view Token);

/// The connection may carry another message behind this one (RFC 9112, 9.3).
bool keepsConnection(const HttpHead &Head);

/// True when every byte of \p Text may be in a field's value.
bool isFieldText(std::string_view Text);

/// The size of a chunk from \p Line, which has its line end; nothing when the
/// line breaks the rule (RFC 9112, 7.1). Extensions are ignored. The largest
/// 64-bit number stands for all sizes beyond it.
std::optional<std::uint64_t> chunkSize(std::string_view Line);

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_HTTPHEAD_H
