#include "Ctl/commands.h"

#include <algorithm>
#include <optional>
#include <sstream>

#include "Ctl/command_handlers.h"

namespace lavendertack {
namespace {

constexpr const char* kExitCodes =
    "exit codes: 0 success; 2 invalid command, flag or file; 3 refused; 4 no "
    "instance\nreplied; 5 accepted, but not yet in force everywhere; 6 outcome "
    "unknown,\nsending it again is safe\n";

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

bool StartsWith(const std::vector<std::string>& words,
                const std::vector<std::string>& prefix) {
  return words.size() >= prefix.size() &&
         std::equal(prefix.begin(), prefix.end(), words.begin());
}

const command* FindCommand(const std::vector<std::string>& words) {
  for (const command& c : Commands()) {
    if (StartsWith(words, SplitWords(c.name))) return &c;
  }
  return nullptr;
}

std::string UsageLine(const command& c) {
  return "lavendertackctl " + c.name +
         (c.argument_names.empty() ? "" : " " + c.argument_names);
}

}  // namespace

const std::vector<command>& Commands() {
  static const std::vector<command> commands{
      {"ticket submit", "FILE", 1, 1,
       "Submits the ticket in FILE (JSON) and waits until it is in force at "
       "every\nlive instance. Running it again with the same file is safe.",
       SubmitTicket},
      {"ticket show", "NUMBER", 1, 1, "Prints an accepted ticket.", ShowTicket},
      {"ticket list", "", 0, 0, "Lists the accepted tickets.", ListTickets},
      {"status", "", 0, 0,
       "Shows the instances, their applied entries and the services that the "
       "replying\ninstance owns.",
       ShowStatus},
      {"targets", "", 0, 0,
       "Lists the targets known to the instances of --admin.", ShowTargets},
      {"flows", "[SERVICE]", 0, 1,
       "Lists the open flows of the instances of --admin, at most 1000 per "
       "service.",
       ShowFlows},
      {"explain", "FLOW [REQUEST]", 1, 2,
       "Shows the latest decisions on a flow or one of its requests: where it "
       "was sent,\nor why it was refused. Queries each instance of --admin; "
       "each keeps only its\nlatest decisions.",
       ExplainFlow},
      {"dc out", "NAME", 1, 1,
       "Takes a data centre out of service: submits a ticket with the next "
       "number.\nFails if another ticket already has this number; with "
       "--take_next_number, tries\nthe following numbers.",
       SetDataCentreOut},
      {"dc in", "NAME", 1, 1,
       "Takes a data centre back into service, with the same options as "
       "`dc out`.",
       SetDataCentreIn},
      {"fleet status", "", 0, 0,
       "Shows which control instances are reachable from each entry or control "
       "instance\nof --admin, and how recent their state is. Use the metrics "
       "port, 9464.",
       ShowFleetStatus},
      {"fleet targets", "", 0, 0,
       "Lists the targets known to the entry or control instances of --admin.",
       ShowFleetTargets},
      {"fleet explain", "ID FILE", 2, 2,
       "Prints the lines of a saved fleet log that contain an id, sorted by "
       "time. The id\nis a caller's address and port, a target, its tag, a "
       "control instance or a\nmanifest's number.",
       ExplainLog},
      {"fleet settings", "FILE", 1, 1,
       "Checks the settings file of an entry or control instance and prints "
       "all errors.",
       CheckFleetSettings},
      {"settings check", "FILE", 1, 1,
       "Checks an instance's settings file, also against this machine.",
       CheckSettings},
      {"settings reference", "", 0, 0,
       "Prints the reference page of all settings.", PrintSettingsReference}};
  return commands;
}

int RunCommand(const command_context& context,
               const std::vector<std::string>& words) {
  const command* found = FindCommand(words);
  if (found == nullptr) {
    context.err << FormatHelp({});
    return kExitUsage;
  }
  const auto name_words =
      static_cast<std::ptrdiff_t>(SplitWords(found->name).size());
  const std::vector<std::string> arguments(words.begin() + name_words,
                                           words.end());
  if (arguments.size() < found->min_arguments ||
      arguments.size() > found->max_arguments) {
    context.err << "usage: " << UsageLine(*found) << "\n";
    return kExitUsage;
  }
  return found->handler(context, arguments);
}

std::string FormatHelp(const std::vector<std::string>& words) {
  std::ostringstream out;
  if (const command* c = FindCommand(words)) {
    out << "usage: " << UsageLine(*c) << "\n\n" << c->help << "\n\n";
    out << kExitCodes;
    return out.str();
  }
  out << "usage: lavendertackctl [flags] COMMAND\n\n";
  for (const command& c : Commands()) out << "  " << UsageLine(c) << "\n";
  out << "\nflags:\n"
         "  --admin=ip:port[,ip:port...]  instances to query, in this order\n"
         "  --token_file=FILE             token that authorises changes (mode "
         "0600)\n"
         "  --json                        print JSON\n"
         "  --wait_s=N                    maximum wait for a ticket to be in "
         "force, seconds\n"
         "  --timeout_s=N                 maximum wait for a reply, seconds\n"
         "  --take_next_number            dc out|in: try the next number if "
         "one is in use\n"
         "\nHelp on a command: lavendertackctl COMMAND --help\n"
      << kExitCodes;
  return out.str();
}

}  // namespace lavendertack
