// Replicated log: runs single-decree Paxos for each log index. Any voter may
// propose. There is no leader and no lease, so a partitioned instance holds no
// authority that could become stale.
//
// The voters for an entry are part of the state after the preceding entries:
// instance names, each with the storage id of its disk. A replica that lost its
// disk restarts with a new storage id and is a learner until an entry adds it
// to the voters again.
//
// The class is a state machine without clock, disk or socket: it turns events
// into effects. The caller must apply the effects in order, and those after a
// `persist_record` or `rewrite_records` only once that write is synced. If the
// write fails, the caller drops the remaining effects and passes
// `storage_failed` as the next event.
#ifndef LAVENDERTACK_AGREEMENT_AGREEMENT_H_
#define LAVENDERTACK_AGREEMENT_AGREEMENT_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Agreement/entry_log.h"
#include "Common/instant.h"
#include "Common/replica_set.h"
#include "Common/strong_type.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// Identifies a proposal within the instance that submitted it.
using proposal_id = strong_type<struct proposal_id_tag, std::uint64_t>;

// Limits on the stored history.
struct log_limits {
  // Chosen entries kept in memory for instances that lag behind.
  std::size_t kept_entries = kDefaultKeptEntries;
  // The log file is rewritten as a snapshot once the records since the last
  // rewrite exceed this many bytes and the size of that rewrite.
  std::uint64_t rewrite_bytes = 1 << 20;
  // Minimum interval between two snapshots sent to the same instance.
  milliseconds snapshot_interval{5000};
};

struct agreement_settings {
  instance_name self;
  // Has a disk and may vote; other instances are learners.
  bool replica = false;
  // Instances that must all accept the first entry.
  std::vector<instance_name> bootstrap_voters;
  // Storage id to assign if none is restored from the log file; must not be 0.
  storage_id new_storage_id;
  // Seeds the random backoff of proposers.
  std::uint64_t seed = 0;
  log_limits limits;
};

// Access to the state machine that the log entries are applied to.
struct agreement_hooks {
  // Returns whether `value` is valid as the next entry in the current state.
  std::function<bool(const std::string& value)> admit;
  // Applies the chosen entry at `index`. Called once per entry, in log order.
  std::function<void(log_index index, const std::string& value)> apply;
  // Returns the voters for the next entry; empty before the first entry.
  std::function<const replica_set&()> voters;
  // Encodes the first entry, which names the initial voters.
  std::function<std::string(const replica_set& voters)> encode_bootstrap_entry;
  // Returns the voters named in an encoded first entry; empty if `value` isn't
  // a valid first entry.
  std::function<replica_set(const std::string& value)> decode_bootstrap_voters;
  // Returns the serialized state after all entries applied so far.
  std::function<std::string()> save;
  // Replaces the state by one that `save` returned.
  std::function<void(const std::string& state)> load;
};

// Events.

// Asks to append `value` to the log. Answered by `proposal_chosen`,
// `proposal_refused` or `proposal_timed_out`.
struct propose_entry {
  proposal_id id;
  std::string value;
  // The value isn't proposed after this time; empty for the default timeout.
  std::optional<instant> expires_at = std::nullopt;
};
// The value of a proposal isn't wanted any more: it isn't proposed unless that
// has happened already. Answered by `proposal_timed_out` if it is pending.
struct withdraw_proposal {
  proposal_id id;
};
// A message arrived from another instance.
struct agreement_message_received {
  instance_name from;
  wire::agreement_message message;
};
// Periodic timer; drives round timeouts, retries and progress messages.
struct agreement_tick {};
// A record could not be synced. The replica stops voting until
// `storage_restored`.
struct storage_failed {};
// The log file is writable again. The in-memory state is written to it.
struct storage_restored {};
using agreement_event =
    std::variant<propose_entry, withdraw_proposal, agreement_message_received,
                 agreement_tick, storage_failed, storage_restored>;

// Effects.

// Append `record` to the log file and sync it.
struct persist_record {
  wire::stored_record record;
};
// Atomically replace all records in the log file by `records`.
struct rewrite_records {
  std::vector<wire::stored_record> records;
};
// Send `message` to the instance `to`.
struct send_agreement {
  instance_name to;
  wire::agreement_message message;
};
// The proposal was chosen as the entry at `index`.
struct proposal_chosen {
  proposal_id id;
  log_index index;
};
// The `admit` hook refused the proposal before it was sent to any acceptor. The
// hook saw the state after every entry that could have been chosen.
struct proposal_refused {
  proposal_id id;
};
// No quorum answered in time, or this replica isn't a voter. The outcome is
// unknown; proposing the same value again is safe.
struct proposal_timed_out {
  proposal_id id;
};
// The first entry can't be chosen: another replica has accepted it, but
// `replica` has lost the disk whose storage id the entry lists.
struct bootstrap_blocked {
  instance_name replica;
};
// Phase of a proposer's round.
enum class round_phase { kIdle, kPreparing, kAccepting, kBackingOff };
std::string ToString(round_phase phase);

// A round of this instance ended without a chosen entry. For the log.
struct round_abandoned {
  log_index index;               // Log entry that the round was for.
  round_phase step;              // Phase in which it ended.
  bool preempted = false;        // By a higher ballot; otherwise it timed out.
  std::size_t answers = 0;       // Voters that answered in that phase.
  std::size_t value_bytes = 0;   // Size of the proposed value; 0 if none yet.
  milliseconds phase_length{0};  // Time since the phase began.
};
using agreement_effect =
    std::variant<persist_record, rewrite_records, send_agreement,
                 proposal_chosen, proposal_refused, proposal_timed_out,
                 bootstrap_blocked, round_abandoned>;

// Numbers of rounds since the start of the process.
struct round_counts {
  std::uint64_t started = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t preempted = 0;  // By a higher ballot.
  // Promises and acceptances that arrived after their phase had timed out.
  std::uint64_t late_answers = 0;
};

// Progress that an instance last reported.
struct peer_progress {
  storage_id storage;  // 0 if its disk can't be written.
  log_index chosen;    // It stores every entry up to this index.
};

class agreement {
 public:
  agreement(agreement_settings settings, agreement_hooks hooks);

  // Replays one record of the log file. Call it for every record in file order,
  // before the first event. Aborts if the chosen entries aren't consecutive.
  void Restore(const wire::stored_record& record);

  // Processes one event at time `now` and returns the effects to apply, in
  // order. `now` must not decrease between calls.
  std::vector<agreement_effect> Reduce(instant now,
                                       const agreement_event& event);

  // Index of the newest chosen entry; 0 if there is none.
  log_index chosen_index() const { return log_.last(); }
  // Storage id of this instance's disk; 0 before it is restored or assigned.
  storage_id storage() const { return storage_; }
  // Whether the last write failed and storage isn't restored yet.
  bool has_failed_storage() const { return storage_failed_; }
  // Whether this instance votes on the next entry.
  bool IsVoting() const;
  // Whether a majority of the current voters stores the entry at `index`.
  bool IsHeldByMajority(log_index index) const;
  // Progress of `name`; nothing if no message from it has arrived yet, or if
  // this is `name` and its storage has failed.
  std::optional<peer_progress> ProgressOf(const instance_name& name) const;
  const round_counts& rounds() const { return round_counts_; }

 private:
  // Paxos acceptor state for the next log index.
  struct acceptor_state {
    wire::ballot promised;
    wire::ballot accepted_number;
    std::string accepted_value;
    std::optional<instant> accepted_at;  // Empty if restored from the log file.
    bool has_accepted() const { return accepted_number.round() != 0; }
  };
  struct pending_proposal {
    proposal_id id;
    std::string value;
    instant expires_at;
  };
  // A voter's promise in the current round.
  struct received_promise {
    wire::ballot accepted_number;   // 0 if it has accepted no entry.
    bool knows_references = false;  // Otherwise it runs an older build.
  };

  // The proposer's current round.
  struct round_state {
    round_phase step = round_phase::kIdle;
    wire::ballot number;
    wire::ballot highest_accepted;  // Among the promises received.
    std::string value;              // Proposed, or that of highest_accepted.
    replica_set responders;         // Voters that answered in this phase.
    std::map<instance_name, received_promise> promises;
    instant began_at;  // Start of this phase.
    instant deadline;  // End of this phase or of the backoff.
  };

  void Propose(const propose_entry& event);
  void Withdraw(const withdraw_proposal& event);
  void Receive(const instance_name& from,
               const wire::agreement_message& message);
  void UpdatePeerProgress(const instance_name& from,
                          const wire::agreement_message& message);
  void Tick();
  void HandleStorageFailure();
  void HandleStorageRestored();
  // Drops the pending proposals that have expired, or all of them while this
  // instance doesn't vote.
  void ExpireProposals();
  // Drops the pending proposals for which the predicate holds.
  void DropProposals(
      const std::function<bool(const pending_proposal&)>& is_dropped);
  bool ShouldStartRound() const;
  void SendProgress();
  void StartRound();
  // Waits for a random time, and at least for `wait`, before the next round.
  void BackOff(milliseconds wait);
  // Counts the current round as ended without a chosen entry, unless it is idle
  // or backing off.
  void AbandonRound(bool preempted);
  // Time that `bytes` of an entry need at most to reach every other voter.
  milliseconds TransferTime(std::size_t bytes) const;
  // Time after which a phase in which `bytes` of an entry are sent times out.
  milliseconds PhaseTimeout(std::size_t bytes) const;
  // Called when an answer to `number`, a round of this instance that is over,
  // arrives.
  void HandleLateAnswer(const wire::ballot& number);
  // Leaves the next entry to `proposer`, whose entry needs `transfer` to reach
  // the voters.
  void Defer(const instance_name& proposer, milliseconds transfer);
  // Whether this instance leaves the next entry to another proposer.
  bool IsDeferring() const {
    return deferred_until_ && now_ < *deferred_until_;
  }
  // Forgets everything about the rounds for the previous log index.
  void ResetRounds();
  void HandlePrepare(const instance_name& from, const wire::prepare& message);
  void HandlePromise(const instance_name& from, storage_id storage,
                     const wire::promise& message);
  void HandleAccept(const instance_name& from, const wire::accept& message);
  void HandleAcceptAgain(const instance_name& from,
                         const wire::accept_again& message);
  // Accepts `value` unless a higher ballot was promised, and answers.
  void AcceptValue(const instance_name& from, std::uint64_t index,
                   const wire::ballot& number, const std::string& value);
  void HandleAccepted(const instance_name& from, storage_id storage,
                      const wire::accepted& message);
  void HandleReject(const wire::reject& message);
  void HandleChosen(const wire::chosen& message);
  void HandleChosenAgain(const wire::chosen_again& message);
  void HandleSnapshot(const wire::state_snapshot& message);
  void HandleFetch(const instance_name& from, std::uint64_t first);
  void StartAccepting();
  // Asks a voter that has promised the round to accept its value.
  void SendAccept(const instance_name& to);
  // Sets the round's value. Returns false if there is nothing to propose.
  bool SelectValue();
  void SelectBootstrapValue();
  void CommitRoundValue();
  void AppendChosen(const std::vector<std::string>& values);
  void ResolveProposals(const std::string& value);
  // Returns whether `index` is the next log index. If not, sends `from` the
  // entries that it lacks, or fetches the missing ones from it.
  bool CheckNextIndex(const instance_name& from, std::uint64_t index);
  bool IsBootstrapped() const { return log_.last().value > 0; }
  // Whether `name` votes on the next entry with the storage `storage`.
  bool IsNextVoter(const instance_name& name, storage_id storage) const;
  bool IsQuorum(std::size_t count) const;
  std::vector<instance_name> VoterNames() const;
  void Reject(const instance_name& from);
  void Fetch(const instance_name& from);
  void Send(const instance_name& to, wire::agreement_message message);
  void SendToVoters(const wire::agreement_message& message);
  void PersistRecord(wire::stored_record record);
  void RewriteRecords();

  agreement_settings settings_;
  agreement_hooks hooks_;
  std::mt19937_64 random_;
  storage_id storage_;  // 0 until restored or assigned.
  bool storage_failed_ = false;
  entry_log log_;
  acceptor_state acceptor_;
  round_state round_;
  round_counts round_counts_;
  std::uint64_t highest_round_ = 0;  // In any ballot seen so far.
  // Rounds up to this one ended without a timeout, so that later answers to
  // them don't mean that the timeout is too short.
  std::uint64_t last_concluded_round_ = 0;
  // Whether voters answered a round for the next index after its timeout, and
  // how often the timeout was doubled for that reason.
  bool late_answer_seen_ = false;
  int timeout_doublings_ = 0;
  // Proposers that this instance has left the next index to. Each one only
  // once, so that a proposer that receives no answers can't block the others.
  std::set<instance_name> deferred_to_;
  std::optional<instant> deferred_until_;
  instance_name deferred_for_;  // The proposer that is active now.
  std::deque<pending_proposal> pending_proposals_;
  std::map<instance_name, peer_progress> peers_;
  std::map<instance_name, std::optional<instant>> snapshot_sent_at_;
  std::optional<instant> last_progress_sent_at_;
  std::optional<instant> first_tick_at_;
  std::uint64_t bytes_since_rewrite_ = 0;
  std::uint64_t rewrite_bytes_ = 0;  // Size of the last rewrite, in bytes.
  // Valid only while an event is being processed.
  instant now_;
  std::vector<agreement_effect> effects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_AGREEMENT_AGREEMENT_H_
