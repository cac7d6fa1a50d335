//===- MessageReader.cpp --------------------------------------------------===//
#include "http1/MessageReader.h"

#include <algorithm>
#include <utility>

namespace shallot::internal {

namespace {

constexpr std::string_view LineEnd = "\r\n";
/// Bytes of a field's line that are not counted: ": " and the line end.
constexpr std::size_t FieldOverhead = 4;

std::string_view withoutReturn(std::string_view Bytes) {
  if (Bytes.ends_with('\r'))
    Bytes.remove_suffix(1);
  return Bytes;
}

} // namespace

MessageReader::MessageReader(MessageKind Kind, MessageLimits Limits)
    : Kind(Kind), Limits(Limits), Parser(Kind) {}

std::size_t MessageReader::feed(std::string_view Bytes) {
  std::size_t Used = 0;
  while (reading() && Used < Bytes.size()) {
    std::string_view Rest = Bytes.substr(Used);
    bool InBody = Next == Part::Bytes || Next == Part::ToClose;
    Used += InBody ? readBody(Rest) : readLine(Rest);
  }
  return Used;
}

void MessageReader::feedEnd() {
  if (State == ReadState::Body && Next == Part::ToClose)
    State = ReadState::Whole;
}

Message MessageReader::take() {
  Message Out;
  static_cast<HttpHead &>(Out) = Parser.takeHead();
  Out.KeepAlive = keepsConnection(Out);
  Out.Body = std::move(Body);
  Parser = HttpHeadParser(Kind);
  State = ReadState::Waiting;
  Next = Part::Head;
  Left = 0;
  Line.clear();
  Body.clear();
  HeaderBytes = 0;
  Fault.clear();
  return Out;
}

std::size_t MessageReader::readLine(std::string_view Bytes) {
  std::size_t End = Bytes.find('\n');
  if (End == std::string_view::npos) {
    Line.append(Bytes);
    checkPart(Bytes);
    return Bytes.size();
  }
  std::string_view Piece = Bytes.substr(0, End + 1);
  if (Line.empty()) {
    readWholeLine(Piece);
  } else {
    Line.append(Piece);
    readWholeLine(std::exchange(Line, {}));
  }
  return Piece.size();
}

/// Refuses what cannot become an allowed line before its end has come: a sender
/// of other bytes may never send a line end. \p Added is the last part of Line.
void MessageReader::checkPart(std::string_view Added) {
  bool Blank = Kind == MessageKind::Request && withoutReturn(Line).empty();
  if (State == ReadState::Waiting && !Blank)
    State = ReadState::Headers;
  if (!isFieldText(withoutReturn(Added)))
    return malformed("a control byte in a line");
  if (Next == Part::Head && !Parser.mayBegin(withoutReturn(Line)))
    return malformed(Parser.fault());
  if (Next == Part::ChunkEnd && !LineEnd.starts_with(Line))
    return malformed("a chunk longer than its size");
  if (HeaderBytes + Line.size() > Limits.MaxHeaderBytes)
    State = ReadState::HeadersTooLarge;
}

void MessageReader::readWholeLine(std::string_view Text) {
  switch (Next) {
  case Part::ChunkSize:
    return readChunkSize(Text);
  case Part::ChunkEnd:
    Next = Part::ChunkSize;
    if (Text != LineEnd)
      malformed("a chunk longer than its size");
    return;
  default:
    return readField(Text);
  }
}

/// A line of the head or of the trailers.
void MessageReader::readField(std::string_view Text) {
  if (!count(std::max(Text.size(), FieldOverhead + 1) - FieldOverhead))
    return;
  bool Blank = Kind == MessageKind::Request && LineEnd.ends_with(Text);
  if (State == ReadState::Waiting && !Blank)
    State = ReadState::Headers;
  if (!Parser.line(Text))
    return malformed(Parser.fault());
  if (Next == Part::Head && Parser.whole())
    beginBody();
  else if (Next == Part::Trailers && Parser.trailersEnded())
    State = ReadState::Whole;
}

void MessageReader::beginBody() {
  State = ReadState::Body;
  switch (head().End) {
  case MessageEnd::Head:
    State = ReadState::Whole;
    return;
  case MessageEnd::Length:
    return expect(head().Length);
  case MessageEnd::Chunks:
    Next = Part::ChunkSize;
    return;
  case MessageEnd::Close:
    Next = Part::ToClose;
    return;
  }
}

void MessageReader::readChunkSize(std::string_view Text) {
  std::optional<std::uint64_t> Size = chunkSize(Text);
  if (!Size)
    return malformed("a line that is no chunk size");
  if (!count(Text.size() - std::min(Text.find(';'), Text.size())))
    return;
  if (*Size == 0)
    Next = Part::Trailers;
  else
    expect(*Size);
}

/// \p Size more bytes of the body follow.
void MessageReader::expect(std::uint64_t Size) {
  Next = Part::Bytes;
  Left = Size;
  if (Size > Limits.MaxBodyBytes - Body.size())
    State = ReadState::BodyTooLarge;
}

std::size_t MessageReader::readBody(std::string_view Bytes) {
  std::size_t Size = Bytes.size();
  if (Next == Part::Bytes)
    Size = static_cast<std::size_t>(std::min<std::uint64_t>(Left, Size));
  if (Size > Limits.MaxBodyBytes - Body.size()) {
    State = ReadState::BodyTooLarge;
    return 0;
  }
  Body.append(Bytes.substr(0, Size));
  if (Next == Part::ToClose)
    return Size;
  Left -= Size;
  if (Left > 0)
    return Size;
  if (head().End == MessageEnd::Chunks)
    Next = Part::ChunkEnd;
  else
    State = ReadState::Whole;
  return Size;
}

/// False when the lines of the message are longer than is allowed.
bool MessageReader::count(std::size_t Size) {
  HeaderBytes += Size;
  if (HeaderBytes <= Limits.MaxHeaderBytes)
    return true;
  State = ReadState::HeadersTooLarge;
  return false;
}

void MessageReader::malformed(std::string_view Why) {
  State = ReadState::Malformed;
  Fault = Why;
}

} // namespace shallot::internal
