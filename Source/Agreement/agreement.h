// Agreement on the log of tickets: single-decree Paxos for each log index, any
// replica may propose. There is no leader and no lease, so an instance that
// was cut off and believes itself current has nothing to be stale about.
//
// The reducer holds no clock, disk or socket. Effects must be carried out in
// order: a message that follows a `persist_record` may leave only after that
// record is synced.
#ifndef LAVENDERTACK_AGREEMENT_AGREEMENT_H_
#define LAVENDERTACK_AGREEMENT_AGREEMENT_H_

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// A proposal's number within the instance that took it in.
using proposal_id = strong_type<struct proposal_id_tag, std::uint64_t>;
// One life of a replica's disk; a lost disk comes back with another.
using storage_id = strong_type<struct storage_id_tag, std::uint64_t>;

struct agreement_settings {
  instance_name self;
  bool replica = false;                 // Others learn, but don't vote.
  std::vector<instance_name> replicas;  // The voters.
  std::uint64_t seed = 0;               // For the backoff of proposers.
};

// Events.
struct propose_entry {
  proposal_id id;
  std::string value;
};
struct agreement_received {
  instance_name from;
  wire::agreement_message message;
};
struct agreement_tick {};
using agreement_event =
    std::variant<propose_entry, agreement_received, agreement_tick>;

// Effects.
struct persist_record {
  wire::stored_record record;
};
struct send_agreement {
  instance_name to;
  wire::agreement_message message;
};
// The entry at `index` is chosen, for good.
struct entry_chosen {
  log_index index;
  std::string value;
};
// The proposal is the chosen entry at `index`.
struct proposal_chosen {
  proposal_id id;
  log_index index;
};
// Before asking others to accept it, the proposal was refused by the hook, on
// the state of every entry that could have been chosen.
struct proposal_refused {
  proposal_id id;
};
// No quorum answered in time; the outcome isn't known, a resend is safe.
struct proposal_timed_out {
  proposal_id id;
};
using agreement_effect =
    std::variant<persist_record, send_agreement, entry_chosen, proposal_chosen,
                 proposal_refused, proposal_timed_out>;

class agreement {
 public:
  // Tells whether `value` may still become the next entry.
  using admit_hook = std::function<bool(const std::string& value)>;

  agreement(agreement_settings settings, admit_hook admit);

  // Takes back one record of the log file, in the order of writing.
  void Restore(const wire::stored_record& record);

  std::vector<agreement_effect> Reduce(instant now,
                                       const agreement_event& event);

  log_index chosen_index() const { return log_index{log_.size()}; }
  const std::string& ChosenValue(log_index index) const;

 private:
  // What this replica's acceptor has promised for the next index.
  struct acceptor_state {
    wire::ballot promised;
    wire::ballot accepted_number;
    std::string accepted_value;
  };
  struct pending_proposal {
    proposal_id id;
    std::string value;
    instant give_up;
  };
  enum class phase { kIdle, kPreparing, kAccepting, kBackingOff };

  struct round_state {
    phase step = phase::kIdle;
    wire::ballot number;
    wire::ballot best_accepted;
    std::string value;
    std::set<instance_name> answers;
    instant until;
  };

  void Propose(const propose_entry& event);
  void Receive(const agreement_received& event);
  void Tick();
  void StartRound();
  void BackOff();
  void HandlePrepare(const instance_name& from, const wire::prepare& message);
  void HandlePromise(const instance_name& from, const wire::promise& message);
  void HandleAccept(const instance_name& from, const wire::accept& message);
  void HandleAccepted(const instance_name& from, const wire::accepted& message);
  void HandleReject(const wire::reject& message);
  void HandleChosen(const wire::chosen& message);
  void HandleFetch(const instance_name& from, std::uint64_t first);
  void StartAccepting();
  void Choose(std::string value);
  void AppendChosen(const std::string& value);
  bool AtNextIndex(const instance_name& from, std::uint64_t index);
  bool IsQuorum(std::size_t count) const;
  void Send(const instance_name& to, wire::agreement_message message);
  void SendToReplicas(const wire::agreement_message& message);
  void Persist(wire::stored_record record);

  agreement_settings settings_;
  admit_hook admit_;
  std::mt19937_64 random_;
  std::vector<std::string> log_;  // Entry i stands at i - 1.
  acceptor_state acceptor_;
  round_state round_;
  std::uint64_t highest_round_ = 0;
  std::deque<pending_proposal> pending_;
  // For the event that is being reduced.
  instant now_;
  std::vector<agreement_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_AGREEMENT_AGREEMENT_H_
