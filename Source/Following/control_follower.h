// Follows the control instances: asks each for what is new, and keeps the
// published routes and the targets as they tell them.
//
// Each control instance tells of the targets that report to itself; the newest
// report of a target counts, whoever heard it. Published state counts by its
// position in the agreed log, so it never goes back, whoever tells it.
#ifndef LAVENDERTACK_FOLLOWING_CONTROL_FOLLOWER_H_
#define LAVENDERTACK_FOLLOWING_CONTROL_FOLLOWER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Forwarding/flow_router.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

struct follower_settings {
  instance_name self;
  data_centre_name data_centre;
  bool is_control = false;
  // Where control instances may be found; they name the others.
  std::vector<instance_name> seeds;
  // Time between two requests to a control instance that answers.
  milliseconds follow_interval{0};
};

// What is known of one control instance.
struct followed_control {
  data_centre_name data_centre;  // Empty until it has spoken.
  std::optional<instant> asked;
  int unanswered = 0;  // Requests since it was last heard.
  std::optional<instant> heard;
  instant listed;  // When it was last named by settings or by another one.
  bool current = false;  // It hears a majority of the voters.
  bool synced = false;   // It has told all of its targets.
  std::uint64_t target_epoch = 0;
  std::uint64_t target_revision = 0;
  std::set<data_centre_name> closed;
  log_index closed_index;  // The entry up to which `closed` stands.
  bool claims_dropped = false;
};

// Events for the log.
struct control_found {
  instance_name name;
};
struct control_lost {
  instance_name name;
  milliseconds silent;
};
struct state_followed {
  instance_name from;
  manifest_version version;
  log_index index;
  std::size_t route_changes;
  bool whole;
};
// A record about a target that no instance of this version writes.
struct target_record_refused {
  instance_name from;
  target_id target;
};
using follower_event = std::variant<control_found, control_lost, state_followed,
                                    target_change, target_record_refused>;

struct follow_request {
  instance_name to;
  wire::fleet_message message;
};

class control_follower {
 public:
  explicit control_follower(follower_settings settings);

  // Control instances that the settings name from now on.
  void SetSeeds(instant now, const std::vector<instance_name>& seeds);
  // Another control instance has made itself known.
  void AddControlName(instant now, const instance_name& control);
  std::vector<follower_event> Apply(instant now, const instance_name& from,
                                    const wire::update& update);
  // Requests that are due. `demand` is what callers ask of this instance.
  std::vector<follow_request> Requests(
      instant now, const std::map<service_name, requests_per_s>& demand);
  // What is believed no more.
  std::vector<follower_event> Tick(instant now);

  const routing_state& state() const { return state_; }
  log_index applied() const { return applied_; }
  manifest_version version() const { return version_; }
  milliseconds cold_start() const { return cold_start_; }
  const std::map<instance_name, followed_control>& controls() const {
    return controls_;
  }
  std::set<instance_name> ControlNames() const;
  bool IsReachable(instant now, const instance_name& name) const;
  // State and targets are complete, as far as the control instances that can
  // be reached know them.
  bool IsSynced(instant now) const;

 private:
  void ApplyState(instant now, const instance_name& from,
                  const wire::update& update,
                  std::vector<follower_event>* notes);
  void ApplyTargets(instant now, const instance_name& from,
                    const wire::update& update,
                    std::vector<follower_event>* notes);
  void UpdateClosed(instant now);

  follower_settings settings_;
  routing_state state_;
  std::map<instance_name, followed_control> controls_;
  log_index applied_;
  manifest_version version_;
  milliseconds cold_start_{0};
  std::optional<instant> first_sync_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FOLLOWING_CONTROL_FOLLOWER_H_
