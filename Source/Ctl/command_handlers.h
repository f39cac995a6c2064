// Handlers of the commands and functions that they share. Each handler returns
// an exit code.
#ifndef LAVENDERTACK_CTL_COMMAND_HANDLERS_H_
#define LAVENDERTACK_CTL_COMMAND_HANDLERS_H_

#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "Ctl/commands.h"

namespace lavendertack {

using command_arguments = std::vector<std::string>;

int SubmitTicket(const command_context& context,
                 const command_arguments& arguments);
int ShowTicket(const command_context& context,
               const command_arguments& arguments);
int ListTickets(const command_context& context,
                const command_arguments& arguments);
int SetDataCentreOut(const command_context& context,
                     const command_arguments& arguments);
int SetDataCentreIn(const command_context& context,
                    const command_arguments& arguments);
int ShowStatus(const command_context& context,
               const command_arguments& arguments);
int ShowTargets(const command_context& context,
                const command_arguments& arguments);
int ShowFlows(const command_context& context,
              const command_arguments& arguments);
int ExplainFlow(const command_context& context,
                const command_arguments& arguments);
int CheckSettings(const command_context& context,
                  const command_arguments& arguments);
int PrintSettingsReference(const command_context& context,
                           const command_arguments& arguments);

int ShowFleetStatus(const command_context& context,
                    const command_arguments& arguments);
int ShowFleetTargets(const command_context& context,
                     const command_arguments& arguments);
int CheckFleetSettings(const command_context& context,
                       const command_arguments& arguments);
int ExplainLog(const command_context& context,
               const command_arguments& arguments);

// Prints the rows under `key` in the replies of all instances, as a table with
// `columns` or as JSON. Returns an exit code.
int ShowRows(const command_context& context, const std::string& path,
             const std::string& key, const std::vector<std::string>& columns);
// Sends a request and returns the reply. When no instance replies, prints an
// error and returns nothing.
std::optional<admin_reply> SendOrPrintError(const command_context& context,
                                            const std::string& method,
                                            const std::string& path,
                                            const std::string& body = "");
// Opens a file. When it can't be opened, prints an error and returns nothing.
std::optional<std::ifstream> OpenOrPrintError(const command_context& context,
                                              const std::string& path);
// Returns the content of a file, with the same error handling.
std::optional<std::string> ReadOrPrintError(const command_context& context,
                                            const std::string& path);
// Prints an error reply and returns the exit code for it.
int PrintRejection(const command_context& context, const admin_reply& reply);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_COMMAND_HANDLERS_H_
