#include <iterator>
#include <optional>

#include "Ctl/command_handlers.h"
#include "Ctl/rollout_wait.h"
#include "Ctl/table.h"

namespace lavendertack {
namespace {

using nlohmann::json;

// Maximum number of tickets that `dc out|in` submits when other tickets already
// use the numbers.
constexpr int kMaxNumberAttempts = 5;

bool IsNumberTaken(const admin_reply& reply) {
  const std::string result = reply.body.value("result", "");
  return reply.status == 409 && (result == "conflict" || result == "outdated");
}

// Prints that a ticket was accepted, and waits until it is in force.
int PrintAndWait(const command_context& context, const admin_reply& reply) {
  const auto entry = reply.body.value("entry", std::uint64_t{0});
  if (!context.options.json) {
    context.out << "accepted as entry " << entry << "\n";
  }
  const int code = WaitForRollout(context, entry);
  if (context.options.json) {
    json body = reply.body;
    body["in_force"] = code == kExitSuccess;
    context.out << body.dump() << "\n";
  }
  return code;
}

bool HasDataCentre(const json& status, const std::string& name) {
  for (const json& instance : status.value("instances", json::array())) {
    if (instance.value("data_centre", "") == name) return true;
  }
  return false;
}

int SubmitDataCentreChange(const command_context& context,
                           const std::string& name, bool out) {
  const auto status = SendOrPrintError(context, "GET", "/v1/status");
  if (!status) return kExitUnreachable;
  if (!HasDataCentre(status->body, name)) {
    context.err << "no instance is in data centre " << name << "\n";
    return kExitUsage;
  }
  auto newest_ticket = status->body.value("newest_ticket", std::uint64_t{0});
  for (int i = 0; i < kMaxNumberAttempts; ++i) {
    const json ticket{{"number", newest_ticket + 1},
                      {"data_centres", {{{"name", name}, {"out", out}}}}};
    if (!context.options.json) {
      context.out << "ticket " << newest_ticket + 1 << ": " << name
                  << (out ? " out" : " in") << "\n";
    }
    const auto reply =
        SendOrPrintError(context, "POST", "/v1/tickets", ticket.dump());
    if (!reply) return kExitUnreachable;
    if (reply->status == 200) return PrintAndWait(context, *reply);
    if (!IsNumberTaken(*reply) || !context.options.take_next_number) {
      return PrintRejection(context, *reply);
    }
    newest_ticket =
        std::max(newest_ticket + 1,
                 reply->body.value("newest_number", std::uint64_t{0}));
  }
  context.err << "no ticket was accepted: " << kMaxNumberAttempts
              << " numbers in a row were used by other tickets\n";
  return kExitRefused;
}

}  // namespace

std::optional<std::ifstream> OpenOrPrintError(const command_context& context,
                                              const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    context.err << "can't read " << path << "\n";
    return std::nullopt;
  }
  return in;
}

std::optional<std::string> ReadOrPrintError(const command_context& context,
                                            const std::string& path) {
  auto in = OpenOrPrintError(context, path);
  if (!in) return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(*in)),
                     std::istreambuf_iterator<char>());
}

std::optional<admin_reply> SendOrPrintError(const command_context& context,
                                            const std::string& method,
                                            const std::string& path,
                                            const std::string& body) {
  auto reply = context.client.Send(method, path, body);
  if (auto* answered = std::get_if<admin_reply>(&reply)) {
    return std::move(*answered);
  }
  context.err << "no instance replied: "
              << std::get<admin_unreachable>(reply).what << "\n";
  return std::nullopt;
}

int PrintRejection(const command_context& context, const admin_reply& reply) {
  if (context.options.json) {
    context.out << reply.body.dump() << "\n";
  } else {
    context.err << reply.body.value("result", "refused");
    for (const auto& [key, value] : reply.body.items()) {
      if (key == "result" || key == "errors") continue;
      context.err << ", " << key << ": "
                  << (value.is_string() ? value.get<std::string>()
                                        : value.dump());
    }
    context.err << "\n";
    for (const json& error : reply.body.value("errors", json::array())) {
      context.err << "  " << error.value("field", "") << " "
                  << error.value("reason", "") << "\n";
    }
  }
  const bool outcome_unknown = reply.status == 503 || reply.status == 504;
  return outcome_unknown ? kExitOutcomeUnknown : kExitRefused;
}

int SubmitTicket(const command_context& context,
                 const command_arguments& arguments) {
  const auto body = ReadOrPrintError(context, arguments.at(0));
  if (!body) return kExitUsage;
  const auto reply = SendOrPrintError(context, "POST", "/v1/tickets", *body);
  if (!reply) return kExitUnreachable;
  if (reply->status != 200) return PrintRejection(context, *reply);
  return PrintAndWait(context, *reply);
}

int ShowTicket(const command_context& context,
               const command_arguments& arguments) {
  const auto reply =
      SendOrPrintError(context, "GET", "/v1/tickets/" + arguments.at(0));
  if (!reply) return kExitUnreachable;
  if (reply->status != 200) return PrintRejection(context, *reply);
  context.out << reply->body.dump(context.options.json ? -1 : 2) << "\n";
  return kExitSuccess;
}

int ListTickets(const command_context& context, const command_arguments&) {
  const auto reply = SendOrPrintError(context, "GET", "/v1/tickets");
  if (!reply) return kExitUnreachable;
  if (reply->status != 200) return PrintRejection(context, *reply);
  if (context.options.json) {
    context.out << reply->body.dump() << "\n";
  } else {
    PrintTable(reply->body.value("tickets", json::array()), {"number", "entry"},
               context.out);
  }
  return kExitSuccess;
}

int SetDataCentreOut(const command_context& context,
                     const command_arguments& arguments) {
  return SubmitDataCentreChange(context, arguments.at(0), /*out=*/true);
}

int SetDataCentreIn(const command_context& context,
                    const command_arguments& arguments) {
  return SubmitDataCentreChange(context, arguments.at(0), /*out=*/false);
}

}  // namespace lavendertack
