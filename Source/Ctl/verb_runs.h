// What each verb does. Every function returns an exit code.
#ifndef LAVENDERTACK_CTL_VERB_RUNS_H_
#define LAVENDERTACK_CTL_VERB_RUNS_H_

#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "Ctl/verbs.h"

namespace lavendertack {

using verb_words = std::vector<std::string>;

int SubmitTicket(const verb_context& context, const verb_words& words);
int ShowTicket(const verb_context& context, const verb_words& words);
int ListTickets(const verb_context& context, const verb_words& words);
int TakeDataCentreOut(const verb_context& context, const verb_words& words);
int TakeDataCentreIn(const verb_context& context, const verb_words& words);
int ShowStatus(const verb_context& context, const verb_words& words);
int ShowTargets(const verb_context& context, const verb_words& words);
int ShowFlows(const verb_context& context, const verb_words& words);
int Explain(const verb_context& context, const verb_words& words);
int CheckSettings(const verb_context& context, const verb_words& words);
int PrintSettingsReference(const verb_context& context,
                           const verb_words& words);

int ShowFleetStatus(const verb_context& context, const verb_words& words);
int ShowFleetTargets(const verb_context& context, const verb_words& words);
int CheckFleetSettings(const verb_context& context, const verb_words& words);
int ExplainLog(const verb_context& context, const verb_words& words);

// Prints the rows below `key` of every instance that answers.
int ShowRows(const verb_context& context, const std::string& path,
             const std::string& key, const std::vector<std::string>& columns);
// Asks, prints a failure to reach anybody, and returns nothing then.
std::optional<admin_reply> AskOrTell(const verb_context& context,
                                     const std::string& method,
                                     const std::string& path,
                                     const std::string& body = "");
// The opened file; prints that it can't be read, and returns nothing then.
std::optional<std::ifstream> OpenOrTell(const verb_context& context,
                                        const std::string& path);
// The same, with the whole file's text.
std::optional<std::string> ReadOrTell(const verb_context& context,
                                      const std::string& path);
// Prints an answer that is no success and returns its exit code.
int TellRefusal(const verb_context& context, const admin_reply& reply);

}  // namespace lavendertack

#endif  // LAVENDERTACK_CTL_VERB_RUNS_H_
