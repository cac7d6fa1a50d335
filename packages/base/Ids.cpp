#include "base/Ids.h"

#include <charconv>
#include <fmt/format.h>

namespace shallot {
namespace {

bool allowedInName(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '.' || C == '_' || C == '/' || C == '-';
}

template <typename T>
bool parseWhole(std::string_view Text, T &Value, int Base = 10) {
  auto [End, Err] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  return Err == std::errc() && End == Text.data() + Text.size();
}

bool isIpv4(std::string_view Ip) {
  for (int Part = 0; Part < 4; ++Part) {
    auto Dot = Ip.find('.');
    if ((Dot == std::string_view::npos) != (Part == 3))
      return false;
    std::uint8_t Byte = 0;
    if (!parseWhole(Ip.substr(0, Dot), Byte))
      return false;
    Ip = Part == 3 ? std::string_view() : Ip.substr(Dot + 1);
  }
  return true;
}

} // namespace

Result<std::string> checkName(std::string_view Text, std::string_view What) {
  if (Text.empty() || Text.size() > MaxNameBytes)
    return fail(ResultCode::BadName,
                fmt::format("{}: a name has 1 to {} characters, this has {}",
                            What, MaxNameBytes, Text.size()));
  for (char C : Text)
    if (!allowedInName(C))
      return fail(ResultCode::BadName,
                  fmt::format("{}: '{}' has a character that is not one of "
                              "letters, digits, '.', '_', '/', '-'",
                              What, Text));
  return std::string(Text);
}

std::string Endpoint::str() const { return fmt::format("{}:{}", Ip, Port); }

Result<Endpoint> Endpoint::parse(std::string_view Text, std::string_view What) {
  auto Colon = Text.rfind(':');
  Endpoint E;
  if (Colon != std::string_view::npos && isIpv4(Text.substr(0, Colon)) &&
      parseWhole(Text.substr(Colon + 1), E.Port) && E.Port != 0) {
    E.Ip = Text.substr(0, Colon);
    return E;
  }
  return fail(ResultCode::OutOfRange,
              fmt::format("{}: '{}' is not an address such as 10.0.0.1:8080",
                          What, Text));
}

std::string DaemonId::str() const {
  return fmt::format("{}@{:x}", Host.str(), Incarnation);
}

Result<DaemonId> DaemonId::parse(std::string_view Text) {
  auto At = Text.rfind('@');
  DaemonId D;
  if (At == std::string_view::npos || At == 0 ||
      !parseWhole(Text.substr(At + 1), D.Incarnation, 16))
    return fail(ResultCode::PeerBadMessage,
                fmt::format("'{}' is not a daemon's identity", Text));
  D.Host = HostId(std::string(Text.substr(0, At)));
  return D;
}

} // namespace shallot
