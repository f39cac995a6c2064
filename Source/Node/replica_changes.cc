#include "Node/replica_changes.h"

#include <glog/logging.h>

#include <utility>

namespace lavendertack {
namespace {

// Longest wait for a majority of the new voters to hold the change.
constexpr seconds kConfirmTimeout{8};

}  // namespace

void replica_changes::Proposed(admin_request request, proposal_id id,
                               const replica_change& change) {
  proposed_[id] = {request, change};
}

void replica_changes::InForce(instant now, admin_request request,
                              log_index index) {
  unconfirmed_[request] = {index, now + kConfirmTimeout};
}

const replica_change& replica_changes::At(proposal_id id) const {
  auto it = proposed_.find(id);
  CHECK(it != proposed_.end()) << "no such proposal";
  return it->second.change;
}

admin_request replica_changes::Take(proposal_id id) {
  auto taken = proposed_.extract(id);
  CHECK(!taken.empty()) << "a proposal was answered twice";
  return taken.mapped().request;
}

std::vector<answer_replica_change> replica_changes::Tick(
    instant now, const std::function<bool(log_index)>& is_held) {
  std::vector<answer_replica_change> answers;
  for (const auto& [request, waiting] : unconfirmed_) {
    if (is_held(waiting.index)) {
      answers.push_back({request, replica_change_done{waiting.index}});
    } else if (waiting.give_up <= now) {
      answers.push_back({request, replica_change_undecided{}});
    }
  }
  for (const auto& answer : answers) unconfirmed_.erase(answer.request);
  return answers;
}

}  // namespace lavendertack
