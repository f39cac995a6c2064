// Decides whether an entry instance withdraws its readiness because its data
// centre is closed by order and no open data centre can be reached.
//
// An open data centre counts as lost when its control instances stop answering
// or openings to its targets go unanswered. An answered opening proves the
// contrary, as does a message from it at a control instance elsewhere, so that
// neither an outage of the control instances nor lost packets nor a single dead
// target cause a withdrawal.
#ifndef LAVENDERTACK_ENTRY_WITHDRAWAL_H_
#define LAVENDERTACK_ENTRY_WITHDRAWAL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Targets/target_report.h"

namespace lavendertack {

enum class withdrawal_phase {
  kStarting,     // No open data centre was reached since the start.
  kServing,      // Ready.
  kUnreachable,  // Withdrawn, openings are refused.
  kReturning     // Withdrawn, openings are forwarded.
};
// The phase's name in logs and metrics.
const char* ToString(withdrawal_phase phase);

// Why the phase changed.
enum class withdrawal_cause {
  kControlsSilent,       // The control instances don't answer.
  kOpeningsUnanswered,   // Openings fail although control instances answer.
  kControlsAndOpenings,  // The control instances don't answer, openings fail.
  kControlsAnswered,
  kOpeningsAnswered,
  kNotClosed  // The own data centre is open, or no other one is.
};
// The cause's name in logs and metrics.
const char* ToString(withdrawal_cause cause);

// What is known about another data centre.
struct data_centre_contact {
  bool has_controls = false;  // Control instances in it are followed.
  bool has_targets = false;   // Targets in it accept new flows.
  // Newest update of its control instances.
  std::optional<instant> last_update;
  // Newest message from it at any control instance, as far as known.
  std::optional<instant> last_message = std::nullopt;
};

// Event: the state as the instance follows it.
struct followed_state {
  std::set<data_centre_name> closed;
  // Without the own data centre. The entry with an empty name stands for the
  // control instances that have sent no update yet.
  std::map<data_centre_name, data_centre_contact> others;
};
// Event: an opening packet was answered, or the caller had to retransmit it.
struct opening_outcome {
  data_centre_name data_centre;
  target_tag target;
  instant sent;
  bool answered = false;
};
using withdrawal_event = std::variant<followed_state, opening_outcome>;

// Effect: the phase changed, with the evidence, which is that of the open data
// centre with the most recent contact.
struct withdrawal_change {
  withdrawal_phase from;
  withdrawal_phase to;
  withdrawal_cause cause;
  std::size_t open_data_centres = 0;  // Without the own one.
  // Time without an update of a control instance and without an answered
  // opening; since the start or the last suspension if there was none.
  milliseconds controls_silent{0};
  milliseconds openings_silent{0};
  std::uint32_t unanswered_openings = 0;  // Since the last answered one.
  std::size_t unanswered_targets = 0;     // Targets of these openings.
  // Time for which an open data centre must stay reachable.
  milliseconds return_after{0};
};

// Not thread-safe; all times are passed in.
class withdrawal {
 public:
  explicit withdrawal(data_centre_name own) : own_(std::move(own)) {}

  // Applies an event. A longer gap than 250 ms between two `followed_state`
  // events counts as a suspension of the process: evidence from before isn't
  // used.
  std::optional<withdrawal_change> Reduce(instant now,
                                          const withdrawal_event& event);
  // Whether a new opening is to be refused. One opening now and then isn't, as
  // a probe.
  bool RefuseOpening(instant now);

  withdrawal_phase phase() const { return phase_; }
  bool IsWithdrawn() const { return phase_ != withdrawal_phase::kServing; }
  // Number of times that all open data centres became unreachable, by cause.
  const std::map<withdrawal_cause, std::uint64_t>& counts() const {
    return counts_;
  }

 private:
  // Openings to the targets of one data centre.
  struct openings {
    std::optional<instant> last_answered;
    instant last_answered_sent;  // When the answered opening was sent.
    instant last_unanswered;
    std::uint32_t unanswered = 0;  // Since the last answered one.
    std::set<target_tag> targets;  // Those of `unanswered`, up to a maximum.
  };

  void RecordOpening(instant now, const opening_outcome& outcome);
  std::optional<withdrawal_change> Review(instant now,
                                          const followed_state& state);
  void DiscardEvidence(instant now);
  // The data centres that callers of a closed one depend on.
  std::map<data_centre_name, data_centre_contact> OpenDataCentres(
      const followed_state& state) const;
  const openings& OpeningsOf(const data_centre_name& name) const;
  // Time without an update and without an answered opening.
  milliseconds ControlsSilent(instant now,
                              const data_centre_contact& contact) const;
  milliseconds OpeningsSilent(instant now, const openings& seen) const;
  // Why the data centre counts as lost; nullopt if it doesn't.
  std::optional<withdrawal_cause> LossOf(
      instant now, const data_centre_name& name,
      const data_centre_contact& contact) const;
  // What shows since the last change that the data centre is reachable; nullopt
  // if nothing does.
  std::optional<withdrawal_cause> AnswerOf(
      instant now, const data_centre_name& name,
      const data_centre_contact& contact) const;
  withdrawal_change ChangeTo(
      instant now, withdrawal_phase to, withdrawal_cause cause,
      const std::map<data_centre_name, data_centre_contact>& open);

  data_centre_name own_;
  withdrawal_phase phase_ = withdrawal_phase::kStarting;
  instant changed_at_;  // Last change of the phase.
  withdrawal_cause lost_by_ = withdrawal_cause::kControlsSilent;
  std::optional<instant> last_loss_;
  milliseconds return_after_{0};
  // Start of the process or end of its last suspension.
  instant observed_since_;
  instant resumed_at_;  // End of the last suspension.
  std::optional<instant> last_review_;
  instant last_probe_;
  std::map<data_centre_name, openings> openings_;
  // Open data centres at the time of the withdrawal. Their targets and control
  // instances are forgotten while they can't be reached.
  std::set<data_centre_name> lost_;
  std::map<withdrawal_cause, std::uint64_t> counts_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_ENTRY_WITHDRAWAL_H_
