#include "Node/replica_changes.h"

#include <glog/logging.h>

#include <utility>

namespace lavendertack {
namespace {

// Time limit for a majority of the new voters to store the change. After it the
// outcome is replica_change_undecided.
constexpr seconds kConfirmTimeout{8};

}  // namespace

void replica_changes::AddProposal(admin_request_id request, proposal_id id,
                                  const replica_change& change) {
  proposals_[id] = {request, change};
}

void replica_changes::AwaitConfirmation(instant now, admin_request_id request,
                                        log_index index) {
  unconfirmed_[request] = {index, now + kConfirmTimeout};
}

const replica_change& replica_changes::ChangeOf(proposal_id id) const {
  auto it = proposals_.find(id);
  CHECK(it != proposals_.end()) << "no such proposal";
  return it->second.change;
}

admin_request_id replica_changes::RemoveProposal(proposal_id id) {
  auto removed = proposals_.extract(id);
  CHECK(!removed.empty()) << "a proposal was answered twice";
  return removed.mapped().request;
}

std::vector<answer_replica_change> replica_changes::Tick(
    instant now, const std::function<bool(log_index)>& is_held_by_majority) {
  std::vector<answer_replica_change> answers;
  for (const auto& [request, change] : unconfirmed_) {
    if (is_held_by_majority(change.index)) {
      answers.push_back({request, replica_change_done{change.index}});
    } else if (change.deadline <= now) {
      answers.push_back({request, replica_change_undecided{}});
    }
  }
  for (const auto& answer : answers) unconfirmed_.erase(answer.request);
  return answers;
}

}  // namespace lavendertack
