// Agreement on the log of entries: single-decree Paxos for each log index, any
// voter may propose. There is no leader and no lease, so an instance that was
// cut off and believes itself current has nothing to be stale about.
//
// Who votes on an entry is part of the state that the entries below it leave:
// names, each with the life of its disk. A replica whose disk was lost comes
// back with another one and only learns, until an entry takes it in.
//
// The reducer holds no clock, disk or socket. Effects must be carried out in
// order: what follows a `persist_record` or `rewrite_records` may happen only
// after that is synced. When it can't be synced, the rest of the effects is
// dropped and `storage_failed` is the next event.
#ifndef LAVENDERTACK_AGREEMENT_AGREEMENT_H_
#define LAVENDERTACK_AGREEMENT_AGREEMENT_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "Agreement/entry_log.h"
#include "Common/instant.h"
#include "Common/replica_set.h"
#include "Common/strong_type.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// A proposal's number within the instance that took it in.
using proposal_id = strong_type<struct proposal_id_tag, std::uint64_t>;

// How much of the past is kept.
struct log_limits {
  std::size_t kept_entries = kKeptEntries;
  // The log file is written anew when the records since the last time take so
  // many bytes, and more than the snapshot itself.
  std::uint64_t rewrite_bytes = 1 << 20;
  // Least time between two snapshots to one instance.
  milliseconds snapshot_interval{5000};
};

struct agreement_settings {
  instance_name self;
  bool replica = false;  // Has a disk and may vote; others only learn.
  std::vector<instance_name>
      bootstrap_voters;       // Who agrees on the first entry.
  storage_id new_storage_id;  // Of the disk, when it's found to be empty.
  std::uint64_t seed = 0;     // For the backoff of proposers.
  log_limits limits;
};

// The state that the entries make up.
struct agreement_hooks {
  // Whether `value` may still become the next entry.
  std::function<bool(const std::string& value)> admit;
  // Applies the chosen entry at `index`; called once for each, in order.
  std::function<void(log_index index, const std::string& value)> apply;
  // Who votes on the next entry; empty before the first one.
  std::function<const replica_set&()> voters;
  // The first entry, and the voters in it.
  std::function<std::string(const replica_set& voters)> encode_bootstrap_entry;
  std::function<replica_set(const std::string& value)> decode_bootstrap_voters;
  // The whole state after the entries so far, and back.
  std::function<std::string()> save;
  std::function<void(const std::string& state)> load;
};

// Events.
struct propose_entry {
  proposal_id id;
  std::string value;
};
struct agreement_message_received {
  instance_name from;
  wire::agreement_message message;
};
struct agreement_tick {};
// A record could not be synced: the replica votes no more until it can.
struct storage_failed {};
// The log takes records again; what was kept in memory is written anew.
struct storage_restored {};
using agreement_event =
    std::variant<propose_entry, agreement_message_received, agreement_tick,
                 storage_failed, storage_restored>;

// Effects.
struct persist_record {
  wire::stored_record record;
};
// Takes the place of every record so far.
struct rewrite_records {
  std::vector<wire::stored_record> records;
};
struct send_agreement {
  instance_name to;
  wire::agreement_message message;
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
// No quorum answered in time, or this replica may not propose; the outcome
// isn't known, a resend is safe.
struct proposal_timed_out {
  proposal_id id;
};
// The first entry can't be agreed on: `replica` lost its disk before it was.
struct bootstrap_blocked {
  instance_name replica;
};
using agreement_effect =
    std::variant<persist_record, rewrite_records, send_agreement,
                 proposal_chosen, proposal_refused, proposal_timed_out,
                 bootstrap_blocked>;

// What an instance last said of itself.
struct peer_progress {
  storage_id storage;
  log_index chosen;  // It holds every entry up to here.
};

class agreement {
 public:
  agreement(agreement_settings settings, agreement_hooks hooks);

  // Takes back one record of the log file, in the order of writing.
  void Restore(const wire::stored_record& record);

  std::vector<agreement_effect> Reduce(instant now,
                                       const agreement_event& event);

  log_index chosen_index() const { return log_.last(); }
  storage_id storage() const { return storage_; }
  bool has_failed_storage() const { return failed_; }
  // Whether this instance votes on the next entry.
  bool IsVoting() const;
  // Whether a majority of the present voters holds the entry at `index`.
  bool IsHeldByMajority(log_index index) const;
  // Nothing when it hasn't spoken yet.
  std::optional<peer_progress> ProgressOf(const instance_name& name) const;

 private:
  // What this replica's acceptor has promised for the next index.
  struct acceptor_state {
    wire::ballot promised;
    wire::ballot accepted_number;
    std::string accepted_value;
    std::optional<instant> accepted_at;
    bool has_accepted() const { return accepted_number.round() != 0; }
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
    replica_set answers;
    instant until;
  };

  void Propose(const propose_entry& event);
  void Receive(const instance_name& from,
               const wire::agreement_message& message);
  void Note(const instance_name& from, const wire::agreement_message& message);
  void Tick();
  void FailStorage();
  void RestoreStorage();
  void GiveUpLateProposals();
  bool HasWork() const;
  void SendHello();
  void StartRound();
  void BackOff();
  void HandlePrepare(const instance_name& from, const wire::prepare& message);
  void HandlePromise(const instance_name& from, storage_id storage,
                     const wire::promise& message);
  void HandleAccept(const instance_name& from, const wire::accept& message);
  void HandleAccepted(const instance_name& from, storage_id storage,
                      const wire::accepted& message);
  void HandleReject(const wire::reject& message);
  void HandleChosen(const wire::chosen& message);
  void HandleSnapshot(const wire::state_snapshot& message);
  void HandleFetch(const instance_name& from, std::uint64_t first);
  void StartAccepting();
  bool PickValue();
  void PickFoundingValue();
  void Choose();
  void AppendChosen(const std::vector<std::string>& values);
  void ResolveProposals(const std::string& value);
  bool AtNextIndex(const instance_name& from, std::uint64_t index);
  bool IsFounded() const { return log_.last().value > 0; }
  bool IsVotingOn(const instance_name& name, storage_id storage) const;
  bool IsQuorum(std::size_t count) const;
  std::vector<instance_name> Voters() const;
  void Reject(const instance_name& from);
  void Fetch(const instance_name& from);
  void Send(const instance_name& to, wire::agreement_message message);
  void SendToVoters(const wire::agreement_message& message);
  void Persist(wire::stored_record record);
  void RewriteRecords();

  agreement_settings settings_;
  agreement_hooks hooks_;
  std::mt19937_64 random_;
  storage_id storage_;  // 0 until it's known.
  bool failed_ = false;
  entry_log log_;
  acceptor_state acceptor_;
  round_state round_;
  std::uint64_t highest_round_ = 0;
  std::deque<pending_proposal> pending_;
  std::map<instance_name, peer_progress> peers_;
  std::map<instance_name, std::optional<instant>> snapshot_sent_;
  std::optional<instant> last_hello_;
  std::optional<instant> first_tick_;
  std::uint64_t bytes_since_rewrite_ = 0;
  std::uint64_t rewrite_bytes_ = 0;  // Size of the last rewrite.
  // For the event that is being reduced.
  instant now_;
  std::vector<agreement_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_AGREEMENT_AGREEMENT_H_
