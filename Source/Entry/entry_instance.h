// One entry instance: forwards callers' packets by what the control instances
// tell. It has no disk and decides nothing that others must agree on.
#ifndef LAVENDERTACK_ENTRY_ENTRY_INSTANCE_H_
#define LAVENDERTACK_ENTRY_ENTRY_INSTANCE_H_

#include <optional>
#include <vector>

#include "Common/instant.h"
#include "Following/control_follower.h"
#include "Forwarding/flow_router.h"

namespace lavendertack {

struct entry_settings {
  instance_name self;
  data_centre_name data_centre;
  std::vector<instance_name> seeds;
  std::uint64_t seed = 0;
  // From the request to stop until the process is killed.
  milliseconds stop_within{0};
  // Other choices than the product's, for comparisons.
  target_selector choose = {};
  refusal_policy refuse = {};
};

class entry_instance {
 public:
  explicit entry_instance(entry_settings settings);

  forward_decision Route(instant now, const flow_packet& packet);
  std::vector<follower_event> Receive(instant now,
                                      const wire::fleet_message& message);
  std::vector<follow_request> Requests(instant now);
  std::vector<follower_event> Tick(instant now);

  // The settings name other control instances.
  void SetSeeds(instant now, const std::vector<instance_name>& seeds) {
    follower_.SetSeeds(now, seeds);
  }
  // No new callers are wanted; those who still come are served.
  void Stop(instant now);
  // Whether the platform should send callers here.
  bool IsReady(instant now) const;
  // Stopped, and callers have gone elsewhere.
  bool CanExit(instant now) const;

  const entry_settings& settings() const { return settings_; }
  const control_follower& follower() const { return follower_; }
  const flow_router& router() const { return router_; }

 private:
  entry_settings settings_;
  control_follower follower_;
  flow_router router_;
  std::optional<instant> stop_asked_;
  instant last_packet_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_ENTRY_ENTRY_INSTANCE_H_
