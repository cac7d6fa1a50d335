#include "standins/LoadOptions.h"

#include <functional>
#include <getopt.h>
#include <map>
#include <sstream>

namespace shallot::standins {

namespace {

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::stringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

Result<std::vector<Endpoint>> endpoints(const std::string &Text,
                                        const char *What) {
  std::vector<Endpoint> All;
  for (const std::string &Part : split(Text)) {
    BOOST_LEAF_AUTO(One, Endpoint::parse(Part, What));
    All.push_back(One);
  }
  return All;
}

Result<double> number(const std::string &Text, const std::string &What) {
  char *End = nullptr;
  double Value = std::strtod(Text.c_str(), &End);
  if (Text.empty() || *End != '\0' || Value < 0)
    return fail(ResultCode::OutOfRange, What + ": '" + Text + "'");
  return Value;
}

enum Option : int {
  EntryOption = 1,
  ControlOption,
  DocumentsOption,
  TenantOption,
  ClassOption,
  GroupOption,
  ServicesOption,
  ZoneOption,
  RateOption,
  ActionRateOption,
  SecondsOption,
  CallersOption,
  ConnectionsOption,
  DeadlineOption,
  SeedOption,
  OutputOption,
  MintedKeysOption,
};

const option Known[] = {
    {"entry", required_argument, nullptr, EntryOption},
    {"upstream-control", required_argument, nullptr, ControlOption},
    {"documents", required_argument, nullptr, DocumentsOption},
    {"tenant", required_argument, nullptr, TenantOption},
    {"class", required_argument, nullptr, ClassOption},
    {"group", required_argument, nullptr, GroupOption},
    {"services", required_argument, nullptr, ServicesOption},
    {"zone", required_argument, nullptr, ZoneOption},
    {"rate", required_argument, nullptr, RateOption},
    {"actions-rate", required_argument, nullptr, ActionRateOption},
    {"minted-keys", no_argument, nullptr, MintedKeysOption},
    {"seconds", required_argument, nullptr, SecondsOption},
    {"callers", required_argument, nullptr, CallersOption},
    {"connections", required_argument, nullptr, ConnectionsOption},
    {"deadline-ms", required_argument, nullptr, DeadlineOption},
    {"seed", required_argument, nullptr, SeedOption},
    {"output", required_argument, nullptr, OutputOption},
    {nullptr, 0, nullptr, 0}};

Result<void> takeText(LoadOptions &O, int Which, const std::string &Text) {
  switch (Which) {
  case EntryOption: {
    BOOST_LEAF_ASSIGN(O.Entries, endpoints(Text, "--entry"));
    break;
  }
  case ControlOption: {
    BOOST_LEAF_ASSIGN(O.UpstreamControls,
                      endpoints(Text, "--upstream-control"));
    break;
  }
  case DocumentsOption:
    O.Documents = split(Text);
    break;
  case TenantOption:
    O.Tenant = Text;
    break;
  case ClassOption:
    O.Class = Text;
    break;
  case GroupOption:
    O.Group = Text;
    break;
  case ServicesOption:
    O.Services = split(Text);
    break;
  case ZoneOption:
    O.Zone = Text;
    break;
  default:
    O.AsJson = Text == "json";
  }
  return {};
}

Result<void> takeNumber(LoadOptions &O, int Which, const std::string &Text) {
  BOOST_LEAF_AUTO(Value, number(Text, "option"));
  switch (Which) {
  case RateOption:
    O.Rate = Value;
    break;
  case ActionRateOption:
    O.ActionRate = Value;
    break;
  case SecondsOption:
    O.RunSeconds = Value;
    break;
  case CallersOption:
    O.Callers = static_cast<unsigned>(Value);
    break;
  case ConnectionsOption:
    O.Connections = static_cast<unsigned>(Value);
    break;
  case DeadlineOption:
    O.DeadlineMs = static_cast<std::uint64_t>(Value);
    break;
  default:
    O.Seed = static_cast<std::uint64_t>(Value);
  }
  return {};
}

bool isNumber(int Which) { return Which >= RateOption && Which <= SeedOption; }

} // namespace

std::string loadHelp() {
  return "Usage: shallot-load --entry IP:PORT[,..] --tenant T --class C\n"
         "                    --group G | --services A,B [options]\n"
         "\n"
         "Callers for tests: they ask for entry addresses, keep them for as\n"
         "long as they are valid, and send searches and actions at seeded,\n"
         "open-loop times. Every answer is checked.\n"
         "\n"
         "  --rate N, --actions-rate N   searches and actions a second\n"
         "  --minted-keys                actions with keys from the daemons\n"
         "  --seconds N                  how long to send for\n"
         "  --callers N                  each with a key of its own\n"
         "  --connections N              requests under way at once, at most\n"
         "  --deadline-ms N              default: the class's own\n"
         "  --zone Z, --seed N\n"
         "  --documents FILE[,..]        operators' files: check coverage\n"
         "  --upstream-control ADDR[,..] check what the stand-ins saw\n"
         "  -o json                      instead of 'name value unit bound'\n"
         "\n"
         "Exit code 1 when a figure breaks its bound.\n";
}

Result<LoadOptions> readLoadOptions(int Argc, char **Argv) {
  LoadOptions O;
  for (int Which;
       (Which = getopt_long(Argc, Argv, "o:", Known, nullptr)) != -1;) {
    if (Which == '?')
      return fail(ResultCode::BadOption, "see --help");
    if (Which == MintedKeysOption) {
      O.MintedKeys = true;
    } else if (isNumber(Which)) {
      BOOST_LEAF_CHECK(takeNumber(O, Which, optarg));
    } else {
      BOOST_LEAF_CHECK(takeText(O, Which, optarg));
    }
  }
  if (O.Entries.empty() || O.Tenant.empty() || O.Class.empty())
    return fail(ResultCode::MissingField, "--entry, --tenant or --class");
  if (O.Group.empty() == O.Services.empty())
    return fail(ResultCode::MissingField, "one of --group and --services");
  if (O.Callers == 0)
    return fail(ResultCode::OutOfRange, "--callers: 0");
  if (O.Rate + O.ActionRate <= 0)
    return fail(ResultCode::OutOfRange, "--rate: 0, and no --actions-rate");
  return O;
}

} // namespace shallot::standins
