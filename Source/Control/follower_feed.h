// Tracks what was sent to each follower of a control instance and builds
// updates with the changes since then. Each request of a follower names the
// revisions that the follower has, so the changes in a lost message are sent
// again after a later request.
#ifndef LAVENDERTACK_CONTROL_FOLLOWER_FEED_H_
#define LAVENDERTACK_CONTROL_FOLLOWER_FEED_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/instant.h"
#include "Control/activity_registry.h"
#include "Control/sent_cursor.h"
#include "Manifest/published_state.h"
#include "Targets/target_registry.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

// Connection of one follower, as identified by the transport.
using link_id = strong_type<struct link_id_tag, std::string>;

// A message to send to a follower.
struct feed_update {
  link_id to;
  wire::fleet_message message;
};

// Current state of the control instance, from which updates are built. Holds
// references, so it's valid only during the call that it's passed to.
struct feed_content {
  const instance_name& self;
  const published_state& published;
  const target_registry& targets;
  // Targets of other control instances, from before the start of this one.
  const std::vector<registered_target>& peer_targets;
  std::uint64_t target_epoch;  // Different in each run of the instance.
  const data_centre_name& data_centre;
  bool current;  // In contact with a majority of the voters.
  std::vector<instance_name> controls;  // Reachable control instances.
  std::set<data_centre_name> closed;    // Data centres that get no new flows.
  const activity_registry& activities;
};

class follower_feed {
 public:
  // Handles a follower's request: records which revisions the follower has and
  // returns the answer. A follower is added with its first request.
  feed_update HandleFollow(instant now, const link_id& from,
                           const wire::follow& request,
                           const feed_content& content);
  // Returns updates for the followers with unsent changes, or with `to_all` for
  // every follower. Removes followers that stopped sending requests.
  std::vector<feed_update> Push(instant now, const feed_content& content,
                                bool to_all);

  // Number of followers.
  std::size_t size() const { return followers_.size(); }
  // The followers that are entry instances.
  std::set<instance_name> EntryInstances() const;
  // Changes whenever EntryInstances() may have changed.
  std::uint64_t entry_revision() const { return entry_revision_; }

 private:
  struct follower_state {
    instance_name name;
    bool control = false;  // The follower is a control instance itself.
    data_centre_name data_centre;
    std::map<service_name, double> demand;  // Requests per second.
    // The list of control instances that was last sent to it.
    std::vector<instance_name> sent_controls;
    instant controls_sent_at;
    // Sums of the demand, in requests per second, that were last sent to it.
    std::map<std::pair<service_name, data_centre_name>, double> sent_demand;
    bool wants_state = true;  // Gets the published state from this instance.
    sent_cursor state;        // Published state, by log entry.
    // Time that the state sent last may need to arrive.
    milliseconds state_transfer{0};
    // Newest log entry of the published state that was announced to it.
    std::uint64_t announced_state = 0;
    sent_cursor targets;  // Targets, by revision of the target registry.
    instant last_request_at;
    instant last_push_at;  // When changes were last sent.
  };

  // Replaces the follower's part in the sums of the demand by that of its
  // request.
  void UpdateDemand(follower_state* follower, const wire::follow& request);
  // Subtracts the follower's demand from the sums.
  void RemoveDemand(follower_state* follower);
  // Adds the sums of the demand that changed since they were last sent to the
  // follower.
  void AddDemand(follower_state* follower, wire::update* update) const;
  // Adds what was last received from the data centres that the request names.
  static void AddActivities(instant now, const wire::follow& request,
                            const activity_registry& activities,
                            wire::update* update);
  // Adds the list of control instances if it's due.
  static void AddControls(instant now, const feed_content& content,
                          follower_state* follower, wire::update* update);
  // Builds an update with all unsent changes and marks them as sent.
  feed_update MakeUpdate(instant now, const link_id& to,
                         follower_state* follower, const feed_content& content);

  std::map<link_id, follower_state> followers_;
  std::uint64_t entry_revision_ = 0;
  // Sums of the demand over all followers, in requests per second.
  std::map<std::pair<service_name, data_centre_name>, double> demand_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_FOLLOWER_FEED_H_
