#include "Ctl/force_wait.h"

namespace lavendertack {
namespace {

constexpr milliseconds kPollInterval{100};

std::string Joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

std::string Describe(const force_state& state) {
  std::string text =
      "in force at " + std::to_string(state.in_force) + " instances";
  if (!state.behind.empty()) text += "; not yet at " + Joined(state.behind);
  if (!state.away.empty()) text += "; no answer from " + Joined(state.away);
  return text;
}

}  // namespace

force_state ForceStateOf(const nlohmann::json& status, std::uint64_t entry) {
  force_state state;
  for (const auto& instance :
       status.value("instances", nlohmann::json::array())) {
    const std::string name = instance.value("name", "");
    if (instance.value("applied_entry", std::uint64_t{0}) >= entry) {
      ++state.in_force;
    } else if (instance.value("alive", false)) {
      state.behind.push_back(name);
    } else {
      state.away.push_back(name);
    }
  }
  return state;
}

int WaitUntilInForce(const verb_context& context, std::uint64_t entry) {
  force_state state;
  bool answered = false;
  for (milliseconds waited{0};; waited += kPollInterval) {
    auto reply = context.client.Ask("GET", "/v1/status");
    if (auto* status = std::get_if<admin_reply>(&reply)) {
      answered = true;
      state = ForceStateOf(status->body, entry);
      if (context.options.progress) {
        context.err << "\r\033[K" << Describe(state) << std::flush;
      }
      if (state.in_force > 0 && state.behind.empty()) break;
    }
    if (waited >= context.options.wait) break;
    context.sleep(kPollInterval);
  }
  if (context.options.progress) context.err << "\r\033[K" << std::flush;
  const bool done = answered && state.in_force > 0 && state.behind.empty();
  if (!context.options.json) context.out << Describe(state) << "\n";
  return done ? kExitDone : kExitNotInForce;
}

}  // namespace lavendertack
