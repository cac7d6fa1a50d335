#include "ctl/Help.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace shallot {
namespace {

constexpr std::size_t Many = 1000;

constexpr std::array<CommandHelp, 15> Commands{{
    {"create", "-f FILE", "add objects; fails when one exists",
     "  shallotctl create -f services.json --wait\n"
     "  cat upstream.json | shallotctl create -f -\n",
     0, 0, true, false, true},
    {"apply", "-f FILE", "add or replace objects",
     "  shallotctl apply -f services.json --wait=20\n", 0, 0, true, false,
     true},
    {"delete", "OBJECT...", "remove objects, all of them or none",
     "  shallotctl delete upstream/uw-03-a\n"
     "  shallotctl delete service/khan-uul/claims-ledger/cl-07\n",
     1, Many, true},
    {"show", "[OBJECT...]", "show objects as documents that can be applied",
     "  shallotctl show\n  shallotctl show preset/peak > peak.json\n", 0, Many,
     true},
    {"diff", "-f FILE", "show what `apply` of the file would change",
     "  shallotctl diff -f services.json\n", 0, 0, true, false, true},
    {"preset use", "NAME", "put another preset in force",
     "  shallotctl preset use peak --wait\n", 1, 1, true},
    {"preset list", "", "list the presets; * marks the one in force",
     "  shallotctl preset list\n", 0, 0, true},
    {"quarantine list", "",
     "list searches under which upstreams crashed, and their standing",
     "  shallotctl quarantine list -o json\n", 0, 0, true},
    {"quarantine release", "FINGERPRINT",
     "send a search to upstreams again that is kept from them",
     "  shallotctl quarantine release 319d25e4f64503b2af223078be35873a\n", 1, 1,
     true},
    {"status", "", "show every daemon and who is behind",
     "  shallotctl status --daemon 10.0.0.1:7100,10.0.0.2:7100\n", 0, 0, false,
     true},
    {"watch", "", "print each change as it is accepted",
     "  shallotctl watch --count 10\n", 0, 0, true},
    {"explain", "REQUEST-ID | fleet",
     "tell what was decided for a request, or by the fleet lately, and why",
     "  shallotctl explain 7f3a9c\n  shallotctl explain fleet --count 20\n", 1,
     1, false, true},
    {"change", "CHANGE-ID", "tell whether a change landed",
     "  shallotctl change c-0195c2a1f00-09ab34cd12\n", 1, 1, true},
    {"entry", "[--zone ZONE] [--key KEY]", "ask where a caller should connect",
     "  shallotctl entry --zone darkhan --key desk-7\n", 0, 0, false, true},
    {"check", "-f FILE", "check documents without any connection",
     "  shallotctl check -f services.json\n", 0, 0, false, false, true},
}};

constexpr std::string_view OptionHelp =
    "  -p, --platform ADDR[,ADDR]  the platform's service (SHALLOT_PLATFORM)\n"
    "  -d, --daemon ADDR[,ADDR]    daemons to ask (SHALLOT_DAEMONS)\n"
    "  -f, --file FILE             documents to read; - is standard input\n"
    "  -o, --output json|text      how to print; text is the default\n"
    "      --operator NAME         who makes the change (SHALLOT_OPERATOR, "
    "USER)\n"
    "      --wait[=SECONDS]        after a change: until every daemon has it\n"
    "      --zone ZONE, --key KEY  for entry\n"
    "  -n, --count N               for watch and explain fleet: how many\n"
    "  -h, --help                  this text, or that of one command\n";

std::string usage(const CommandHelp &C) {
  std::string Space = C.Arguments.empty() ? "" : " ";
  return fmt::format("{}{}{}", C.Name, Space, C.Arguments);
}

} // namespace

std::span<const CommandHelp> allCommands() { return Commands; }

const CommandHelp *findCommand(std::string_view Name) {
  auto It = std::ranges::find(Commands, Name, &CommandHelp::Name);
  return It == Commands.end() ? nullptr : &*It;
}

std::string helpFor(std::string_view Command) {
  if (const CommandHelp *C = findCommand(Command))
    return fmt::format("Usage: shallotctl {} [OPTION...]\n\n{}.\n\nExamples:\n"
                       "{}\nOptions:\n{}",
                       usage(*C), C->Does, C->Examples, OptionHelp);
  std::string Text = "Usage: shallotctl COMMAND [ARGUMENT...] [OPTION...]\n\n";
  for (const CommandHelp &C : Commands)
    Text += fmt::format("  {:<32} {}\n", usage(C), C.Does);
  return Text + "\nOptions:\n" + std::string(OptionHelp) +
         "\nObjects are service/TENANT/GROUP/SERVICE, upstream/UPSTREAM and "
         "preset/PRESET.\nExample: shallotctl preset use peak --wait\n"
         "Exit codes are those of docs/ERRORS.md.\n";
}

} // namespace shallot
