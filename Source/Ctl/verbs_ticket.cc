#include <iterator>
#include <optional>

#include "Ctl/force_wait.h"
#include "Ctl/table.h"
#include "Ctl/verb_runs.h"

namespace lavendertack {
namespace {

using nlohmann::json;

// Tries of `dc out|in` when the next number is taken by another ticket.
constexpr int kNumberTries = 5;

bool IsNumberTaken(const admin_reply& reply) {
  const std::string result = reply.body.value("result", "");
  return reply.status == 409 && (result == "conflict" || result == "outdated");
}

// Prints an accepted ticket and waits for it.
int Finish(const verb_context& context, const admin_reply& reply) {
  const auto entry = reply.body.value("entry", std::uint64_t{0});
  if (!context.options.json) {
    context.out << "accepted as entry " << entry << "\n";
  }
  const int code = WaitUntilInForce(context, entry);
  if (context.options.json) {
    json body = reply.body;
    body["in_force"] = code == kExitDone;
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

int MoveDataCentre(const verb_context& context, const std::string& name,
                   bool out) {
  const auto status = AskOrTell(context, "GET", "/v1/status");
  if (!status) return kExitUnreachable;
  if (!HasDataCentre(status->body, name)) {
    context.err << "no instance is in a data centre " << name << "\n";
    return kExitUsage;
  }
  auto newest = status->body.value("newest_ticket", std::uint64_t{0});
  for (int i = 0; i < kNumberTries; ++i) {
    const json ticket{{"number", newest + 1},
                      {"data_centres", {{{"name", name}, {"out", out}}}}};
    if (!context.options.json) {
      context.out << "ticket " << newest + 1 << ": " << name
                  << (out ? " out" : " in") << "\n";
    }
    const auto reply = AskOrTell(context, "POST", "/v1/tickets", ticket.dump());
    if (!reply) return kExitUnreachable;
    if (reply->status == 200) return Finish(context, *reply);
    if (!IsNumberTaken(*reply) || !context.options.take_next_number) {
      return TellRefusal(context, *reply);
    }
    newest = std::max(newest + 1,
                      reply->body.value("newest_number", std::uint64_t{0}));
  }
  context.err << "others took " << kNumberTries << " numbers in a row\n";
  return kExitRefused;
}

}  // namespace

std::optional<std::ifstream> OpenOrTell(const verb_context& context,
                                        const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    context.err << "can't read " << path << "\n";
    return std::nullopt;
  }
  return in;
}

std::optional<std::string> ReadOrTell(const verb_context& context,
                                      const std::string& path) {
  auto in = OpenOrTell(context, path);
  if (!in) return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(*in)),
                     std::istreambuf_iterator<char>());
}

std::optional<admin_reply> AskOrTell(const verb_context& context,
                                     const std::string& method,
                                     const std::string& path,
                                     const std::string& body) {
  auto reply = context.client.Ask(method, path, body);
  if (auto* answered = std::get_if<admin_reply>(&reply)) {
    return std::move(*answered);
  }
  context.err << "no instance answered: "
              << std::get<admin_unreachable>(reply).what << "\n";
  return std::nullopt;
}

int TellRefusal(const verb_context& context, const admin_reply& reply) {
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
  const bool open = reply.status == 503 || reply.status == 504;
  return open ? kExitUndecided : kExitRefused;
}

int SubmitTicket(const verb_context& context, const verb_words& words) {
  const auto body = ReadOrTell(context, words.at(0));
  if (!body) return kExitUsage;
  const auto reply = AskOrTell(context, "POST", "/v1/tickets", *body);
  if (!reply) return kExitUnreachable;
  if (reply->status != 200) return TellRefusal(context, *reply);
  return Finish(context, *reply);
}

int ShowTicket(const verb_context& context, const verb_words& words) {
  const auto reply = AskOrTell(context, "GET", "/v1/tickets/" + words.at(0));
  if (!reply) return kExitUnreachable;
  if (reply->status != 200) return TellRefusal(context, *reply);
  context.out << reply->body.dump(context.options.json ? -1 : 2) << "\n";
  return kExitDone;
}

int ListTickets(const verb_context& context, const verb_words&) {
  const auto reply = AskOrTell(context, "GET", "/v1/tickets");
  if (!reply) return kExitUnreachable;
  if (reply->status != 200) return TellRefusal(context, *reply);
  if (context.options.json) {
    context.out << reply->body.dump() << "\n";
  } else {
    PrintTable(reply->body.value("tickets", json::array()), {"number", "entry"},
               context.out);
  }
  return kExitDone;
}

int TakeDataCentreOut(const verb_context& context, const verb_words& words) {
  return MoveDataCentre(context, words.at(0), /*out=*/true);
}

int TakeDataCentreIn(const verb_context& context, const verb_words& words) {
  return MoveDataCentre(context, words.at(0), /*out=*/false);
}

}  // namespace lavendertack
