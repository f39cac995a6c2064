#include "Ctl/verbs.h"

#include <algorithm>
#include <optional>
#include <sstream>

#include "Ctl/verb_runs.h"

namespace lavendertack {
namespace {

constexpr const char* kExitCodes =
    "exit codes: 0 done; 2 wrong words, flags or file; 3 refused; 4 no "
    "instance\nanswered; 5 accepted, but not yet in force everywhere; 6 "
    "outcome open, a resend\nis safe\n";

std::vector<std::string> Split(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

bool BeginsWith(const std::vector<std::string>& words,
                const std::vector<std::string>& start) {
  return words.size() >= start.size() &&
         std::equal(start.begin(), start.end(), words.begin());
}

const verb* FindVerb(const std::vector<std::string>& words) {
  for (const verb& v : Verbs()) {
    if (BeginsWith(words, Split(v.words))) return &v;
  }
  return nullptr;
}

std::string UsageLine(const verb& v) {
  return "lavendertackctl " + v.words +
         (v.arguments.empty() ? "" : " " + v.arguments);
}

}  // namespace

const std::vector<verb>& Verbs() {
  static const std::vector<verb> verbs{
      {"ticket submit", "FILE", 1, 1,
       "Submits the ticket in FILE (JSON) and waits until it is in force at "
       "every\ninstance that answers. Running it again with the same file is "
       "safe.",
       SubmitTicket},
      {"ticket show", "NUMBER", 1, 1, "Prints an accepted ticket.", ShowTicket},
      {"ticket list", "", 0, 0, "Lists the accepted tickets.", ListTickets},
      {"status", "", 0, 0,
       "Shows the instances, their applied entries and the services that the "
       "asked\ninstance is in charge of.",
       ShowStatus},
      {"targets", "", 0, 0,
       "Lists the targets known to the instances of --admin.", ShowTargets},
      {"flows", "[SERVICE]", 0, 1,
       "Lists open flows held by the instances of --admin, at most 1000 of a "
       "service.",
       ShowFlows},
      {"explain", "FLOW [REQUEST]", 1, 2,
       "Shows the latest decisions on a flow or one of its requests: where it "
       "went,\nor why it was refused. Asks each instance of --admin; each "
       "keeps its latest\ndecisions only.",
       Explain},
      {"dc out", "NAME", 1, 1,
       "Takes a data centre out: makes the next numbered ticket and submits "
       "it.\nWhen another ticket has taken the number, it says so and stops, "
       "or tries the\nnext one with --take_next_number.",
       TakeDataCentreOut},
      {"dc in", "NAME", 1, 1,
       "Takes a data centre back in, in the same way as `dc out`.",
       TakeDataCentreIn},
      {"fleet status", "", 0, 0,
       "Shows which control instances each entry or control instance of "
       "--admin hears,\nand how new what they say is. Their metrics port is "
       "9464.",
       ShowFleetStatus},
      {"fleet targets", "", 0, 0,
       "Lists the targets that entry or control instances of --admin know.",
       ShowFleetTargets},
      {"fleet explain", "ID FILE", 2, 2,
       "Prints what saved logs of a fleet say of an id, in the order of time: "
       "a "
       "caller's\naddress and port, a target, its tag, a control instance or a "
       "manifest's number.",
       ExplainLog},
      {"fleet settings", "FILE", 1, 1,
       "Checks the settings file of an entry or control instance, and names "
       "all that\nis wrong in it.",
       CheckFleetSettings},
      {"settings check", "FILE", 1, 1,
       "Checks an instance's settings file against this machine.",
       CheckSettings},
      {"settings reference", "", 0, 0,
       "Prints the reference page of all settings.", PrintSettingsReference}};
  return verbs;
}

int RunVerb(const verb_context& context,
            const std::vector<std::string>& words) {
  const verb* found = FindVerb(words);
  if (found == nullptr) {
    context.err << HelpOn({});
    return kExitUsage;
  }
  const auto skipped = static_cast<std::ptrdiff_t>(Split(found->words).size());
  const std::vector<std::string> arguments(words.begin() + skipped,
                                           words.end());
  if (arguments.size() < found->least || arguments.size() > found->most) {
    context.err << "usage: " << UsageLine(*found) << "\n";
    return kExitUsage;
  }
  return found->run(context, arguments);
}

std::string HelpOn(const std::vector<std::string>& words) {
  std::ostringstream out;
  if (const verb* v = FindVerb(words)) {
    out << "usage: " << UsageLine(*v) << "\n\n" << v->help << "\n\n";
    out << kExitCodes;
    return out.str();
  }
  out << "usage: lavendertackctl [flags] VERB\n\n";
  for (const verb& v : Verbs()) out << "  " << UsageLine(v) << "\n";
  out << "\nflags:\n"
         "  --admin=ip:port[,ip:port...]  instances to ask, in this order\n"
         "  --token_file=FILE             token that changes need (mode 0600)\n"
         "  --json                        answers for programs\n"
         "  --wait_s=N                    longest wait for a ticket to be in "
         "force\n"
         "  --timeout_s=N                 longest wait for one answer\n"
         "  --take_next_number            dc out|in: go on when a number is "
         "taken\n"
         "\nHelp on a verb: lavendertackctl VERB --help\n"
      << kExitCodes;
  return out.str();
}

}  // namespace lavendertack
