#include "ctl/Session.h"

#include "ctl/Help.h"

#include <cstdio>
#include <fmt/format.h>

namespace shallot {
namespace {

struct CloseFile {
  void operator()(std::FILE *F) const {
    if (F != stdin)
      std::fclose(F);
  }
};
using File = std::unique_ptr<std::FILE, CloseFile>;

Result<std::string> readAll(std::FILE *From, const std::string &Name) {
  std::string Text;
  char Buffer[65536];
  while (std::size_t Got = std::fread(Buffer, 1, sizeof(Buffer), From)) {
    Text.append(Buffer, Got);
    if (Text.size() > MaxDocumentBytes)
      return fail(
          ResultCode::BodyTooLarge,
          fmt::format("{}: more than {} bytes", Name, MaxDocumentBytes));
  }
  if (std::ferror(From))
    return fail(ResultCode::FileUnreadable,
                fmt::format("{}: cannot be read to its end", Name));
  return Text;
}

Result<void> checkNeeds(const CtlOptions &O) {
  const CommandHelp &C = *findCommand(O.Command);
  if (O.Arguments.size() < C.MinArguments ||
      O.Arguments.size() > C.MaxArguments)
    return fail(ResultCode::BadOption,
                fmt::format("{} arguments were given; usage: shallotctl {} {}",
                            O.Arguments.size(), C.Name, C.Arguments));
  if (C.NeedsPlatform && O.Platform.empty())
    return fail(ResultCode::BadOption,
                "--platform ADDR or SHALLOT_PLATFORM is needed");
  if ((C.NeedsDaemons || O.Wait) && O.Daemons.empty())
    return fail(ResultCode::BadOption,
                "--daemon ADDR or SHALLOT_DAEMONS is needed");
  if (C.NeedsFile && O.File.empty())
    return fail(ResultCode::BadOption, "-f FILE is needed (- for stdin)");
  return {};
}

} // namespace

Result<std::unique_ptr<Session>> Session::open(CtlOptions Options) {
  BOOST_LEAF_CHECK(checkNeeds(Options));
  std::unique_ptr<Session> S(new Session(std::move(Options)));
  if (S->Options.Platform.empty())
    return S;
  StoreSettings Settings;
  Settings.Endpoints = S->Options.Platform;
  BOOST_LEAF_ASSIGN(S->Platform,
                    StoreClient::make(S->Loop, S->Http, std::move(Settings)));
  return S;
}

void Session::pause(Duration D) {
  await<Done>([&](const std::function<void(Done)> &Go) {
    Loop.after(D, [Go] { Go(Done{}); });
  });
}

Result<StoredConfig> Session::config() {
  using Read = Attempt<StoredConfig>;
  Read Stored = await<Read>([&](const std::function<void(Read)> &Go) {
    readConfig(*Platform, nullptr, Go);
  });
  if (Stored && !Stored->Config)
    return fail(ResultCode::NoConfiguration,
                "nothing has been configured yet; `shallotctl apply -f FILE` "
                "with at least one preset begins");
  return resultOf(std::move(Stored));
}

Result<std::string> Session::fileText() const {
  if (Options.File == "-")
    return readAll(stdin, "standard input");
  File F(std::fopen(Options.File.c_str(), "rb"));
  if (!F)
    return fail(ResultCode::FileUnreadable,
                fmt::format("{}: cannot be opened", Options.File));
  return readAll(F.get(), Options.File);
}

void Session::print(const Report &R) const { printReport(R, Options.Json); }

void printReport(const Report &R, bool Json) {
  if (Json)
    fmt::print(stdout, "{}\n", canonicalJson(R.Doc));
  else
    fmt::print(R.Doc.contains("error") ? stderr : stdout, "{}", R.Text);
  std::fflush(stdout);
}

} // namespace shallot
