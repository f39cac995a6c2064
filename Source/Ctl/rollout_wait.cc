#include "Ctl/rollout_wait.h"

namespace lavendertack {
namespace {

constexpr milliseconds kPollInterval{100};

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

std::string FormatRollout(const rollout_status& rollout) {
  std::string text =
      "in force at " + std::to_string(rollout.applied) + " instances";
  if (!rollout.pending.empty()) text += "; not yet at " + Join(rollout.pending);
  if (!rollout.down.empty()) text += "; no answer from " + Join(rollout.down);
  return text;
}

}  // namespace

rollout_status ParseRolloutStatus(const nlohmann::json& response,
                                  std::uint64_t entry) {
  rollout_status rollout;
  for (const auto& instance :
       response.value("instances", nlohmann::json::array())) {
    const std::string name = instance.value("name", "");
    if (instance.value("applied_entry", std::uint64_t{0}) >= entry) {
      ++rollout.applied;
    } else if (instance.value("alive", false)) {
      rollout.pending.push_back(name);
    } else {
      rollout.down.push_back(name);
    }
  }
  return rollout;
}

int WaitForRollout(const command_context& context, std::uint64_t entry) {
  rollout_status rollout;
  bool answered = false;
  for (milliseconds waited{0};; waited += kPollInterval) {
    auto reply = context.client.Send("GET", "/v1/status");
    if (auto* response = std::get_if<admin_reply>(&reply)) {
      answered = true;
      rollout = ParseRolloutStatus(response->body, entry);
      if (context.options.progress) {
        context.err << "\r\033[K" << FormatRollout(rollout) << std::flush;
      }
      if (rollout.applied > 0 && rollout.pending.empty()) break;
    }
    if (waited >= context.options.wait_timeout) break;
    context.sleep(kPollInterval);
  }
  if (context.options.progress) context.err << "\r\033[K" << std::flush;
  const bool done = answered && rollout.applied > 0 && rollout.pending.empty();
  if (!context.options.json) context.out << FormatRollout(rollout) << "\n";
  return done ? kExitSuccess : kExitNotInForce;
}

}  // namespace lavendertack
