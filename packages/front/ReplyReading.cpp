//===- ReplyReading.cpp ---------------------------------------------------===//
#include "front/ReplyReading.h"

#include <array>
#include <charconv>

namespace shallot {

namespace {

/// The replica at this address is not the one that was addressed.
constexpr int MisdirectedRequest = 421;

/// No replica runs or queues this many; a larger number is corrupt and would
/// keep callers away from the replica until it expires.
constexpr unsigned MaxReportedLoad = 100000;

bool isEncoded(const HttpHeaders &Headers) {
  std::string_view Coding = headerValue(Headers, "Content-Encoding");
  return !Coding.empty() && !sameHeaderName(Coding, "identity");
}

HttpHeaders forwardedHeaders(HttpHeaders Headers) {
  std::string Connection(headerValue(Headers, "Connection"));
  std::erase_if(Headers, [&](const HttpHeader &H) {
    return isHopHeader(H.Name, Connection);
  });
  return Headers;
}

} // namespace

std::optional<ReportedLoad> readLoad(std::string_view Text) {
  std::array<unsigned, 3> Figures{};
  const char *At = Text.data();
  const char *End = At + Text.size();
  for (unsigned &F : Figures) {
    auto [Next, Error] = std::from_chars(At, End, F);
    bool Separated = Next == End || *Next == ',';
    if (Error != std::errc() || !Separated || F > MaxReportedLoad)
      return std::nullopt;
    At = Next < End ? Next + 1 : End;
  }
  auto [Running, Waiting, Slots] = Figures;
  if (Slots == 0)
    return std::nullopt;
  return ReportedLoad{Running, Waiting, Slots};
}

SendResult readReply(const HeaderNames &Names, UpstreamReply Reply,
                     bool KeepHeaders) {
  SendResult R;
  if (Reply.How != CallEnd::Answered) {
    R.How =
        Reply.How == CallEnd::NotSent ? SendStatus::NotSent : SendStatus::Lost;
    R.ConnectionRefused = Reply.ConnectionRefused;
    return R;
  }
  R.Opened = Reply.Opened;
  R.Load = readLoad(headerValue(Reply.Headers, Names.Load));
  R.WrongReplica = Reply.Status == MisdirectedRequest;
  bool Rejected =
      R.WrongReplica || !headerValue(Reply.Headers, Names.NotRun).empty();
  if (Rejected) {
    R.How = SendStatus::Rejected;
    return R;
  }
  R.How = SendStatus::Answered;
  ReplicaReply Out;
  Out.Status = Reply.Status;
  Out.Signature = std::string(headerValue(Reply.Headers, Names.Signature));
  Out.Encoded = isEncoded(Reply.Headers);
  Out.Body = std::move(Reply.Body);
  if (KeepHeaders)
    Out.Headers = forwardedHeaders(std::move(Reply.Headers));
  R.Reply = std::move(Out);
  return R;
}

} // namespace shallot
