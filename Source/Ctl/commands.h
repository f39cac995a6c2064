// The commands of lavendertackctl, and their exit codes and help.
#ifndef LAVENDERTACK_CTL_COMMANDS_H_
#define LAVENDERTACK_CTL_COMMANDS_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "Common/instant.h"
#include "Ctl/admin_client.h"

namespace lavendertack {

// Exit codes of lavendertackctl.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitUsage = 2;        // Invalid command, flag or file.
inline constexpr int kExitRefused = 3;      // The instance refused the request.
inline constexpr int kExitUnreachable = 4;  // No instance replied.
inline constexpr int kExitNotInForce = 5;   // Ticket not in force everywhere.
// The request may or may not take effect; sending it again is safe.
inline constexpr int kExitOutcomeUnknown = 6;

struct command_options {
  bool json = false;                  // Print JSON.
  bool progress = false;              // Show a progress line on stderr.
  bool take_next_number = false;      // Retry `dc out|in` with the next number.
  milliseconds wait_timeout{10'000};  // Maximum wait for a ticket's rollout.
};

// Environment that a command runs in.
struct command_context {
  admin_client client;
  command_options options;
  std::ostream& out;
  std::ostream& err;
  std::function<void(milliseconds)> sleep;
};

// A command; its name has one or two words.
struct command {
  std::string name;            // Such as "ticket submit".
  std::string argument_names;  // For the usage, such as "FILE".
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  std::string help;
  // Runs the command with its arguments and returns an exit code.
  std::function<int(const command_context&, const std::vector<std::string>&)>
      handler;
};

const std::vector<command>& Commands();

// Runs the command that `words`, the command line without flags, begins with,
// and returns its exit code. Prints the usage when there is no such command or
// the number of arguments is wrong.
int RunCommand(const command_context& context,
               const std::vector<std::string>& words);

// Returns the help on the command that `words` begins with; the list of all
// commands when there is no such command.
std::string FormatHelp(const std::vector<std::string>& words);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_COMMANDS_H_
