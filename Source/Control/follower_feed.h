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
#include "Control/sent_cursor.h"
#include "Forwarding/fleet_demand.h"
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
  std::uint64_t target_epoch;  // Different in each run of the instance.
  const data_centre_name& data_centre;
  bool current;  // In contact with a majority of the voters.
  std::vector<instance_name> controls;  // Reachable control instances.
  std::set<data_centre_name> closed;    // Data centres that get no new flows.
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
  // Number of demand records that were ignored because a value wasn't valid.
  std::uint64_t refused_demand_records() const {
    return refused_demand_records_;
  }

 private:
  // A load that was sent to a follower.
  struct sent_load {
    service_load load;
    instant sent_at;
  };
  struct follower_state {
    bool control = false;  // The follower is a control instance itself.
    data_centre_name data_centre;
    std::map<service_name, service_load> demand;  // As it has reported.
    std::map<load_key, sent_load> sent_demand;    // Sums last sent to it.
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
  // follower, or were sent too long ago.
  void AddDemand(instant now, follower_state* follower,
                 wire::update* update) const;
  // Builds an update with all unsent changes and marks them as sent.
  feed_update MakeUpdate(instant now, const link_id& to,
                         follower_state* follower, const feed_content& content);

  std::map<link_id, follower_state> followers_;
  // Demand over all followers.
  std::map<load_key, load_sum> demand_;
  std::uint64_t refused_demand_records_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_FOLLOWER_FEED_H_
