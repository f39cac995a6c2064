// The verbs of lavendertackctl.
#ifndef LAVENDERTACK_CTL_VERBS_H_
#define LAVENDERTACK_CTL_VERBS_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "Common/instant.h"
#include "Ctl/admin_client.h"

namespace lavendertack {

// Exit codes of the program.
inline constexpr int kExitDone = 0;
inline constexpr int kExitUsage = 2;        // Wrong words, flags or file.
inline constexpr int kExitRefused = 3;      // The instance said no.
inline constexpr int kExitUnreachable = 4;  // No instance answered.
inline constexpr int kExitNotInForce = 5;   // Accepted, not yet everywhere.
inline constexpr int kExitUndecided = 6;    // Outcome open; a resend is safe.

struct verb_options {
  bool json = false;              // The answer for programs.
  bool progress = false;          // A line that tells what is waited for.
  bool take_next_number = false;  // After a number was taken by another.
  milliseconds wait{10'000};      // For a ticket to be in force everywhere.
};

// What a verb works with.
struct verb_context {
  admin_client client;
  verb_options options;
  std::ostream& out;
  std::ostream& err;
  std::function<void(milliseconds)> sleep;
};

struct verb {
  std::string words;      // As "ticket submit".
  std::string arguments;  // As "FILE".
  std::size_t least = 0;  // Number of arguments.
  std::size_t most = 0;
  std::string help;
  std::function<int(const verb_context&, const std::vector<std::string>&)> run;
};

const std::vector<verb>& Verbs();

// Runs the verb that `words` begin with.
int RunVerb(const verb_context& context, const std::vector<std::string>& words);

// Help on the verb that `words` begin with; on all when there is none.
std::string HelpOn(const std::vector<std::string>& words);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_VERBS_H_
