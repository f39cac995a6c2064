// What each follower of a control instance was told last, and what is new to
// it. A follower names what it holds, so a lost message is made good with its
// next request.
#ifndef LAVENDERTACK_CONTROL_FOLLOWER_FEED_H_
#define LAVENDERTACK_CONTROL_FOLLOWER_FEED_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/instant.h"
#include "Control/sent_cursor.h"
#include "Manifest/published_state.h"
#include "Targets/target_registry.h"
#include "Wire/fleet.pb.h"

namespace lavendertack {

// The connection of one follower, as the transport names it.
using link_id = strong_type<struct link_id_tag, std::string>;

struct feed_update {
  link_id to;
  wire::fleet_message message;
};

// What updates are made from.
struct feed_content {
  const instance_name& self;
  const published_state& published;
  const target_registry& targets;
  std::uint64_t target_epoch;
  const data_centre_name& data_centre;
  bool current;
  std::vector<instance_name> controls;
  std::set<data_centre_name> closed;
};

class follower_feed {
 public:
  // The answer to a follower's request.
  feed_update HandleFollow(instant now, const link_id& from,
                           const wire::follow& request,
                           const feed_content& content);
  // Updates for followers to whom something is new. `to_all` sends one to each.
  std::vector<feed_update> Push(instant now, const feed_content& content,
                                bool to_all);

  std::size_t size() const { return followers_.size(); }

 private:
  struct follower {
    bool control = false;
    data_centre_name data_centre;
    std::map<service_name, double> demand;  // Requests a second.
    // The sums that it was told.
    std::map<std::pair<service_name, data_centre_name>, double> told_demand;
    sent_cursor state;    // By the entry of the log.
    sent_cursor targets;  // By the revision of the book.
    instant heard;
    instant pushed;  // When something new was last sent.
  };

  // Puts the follower's demand in place of what it said before.
  void CountDemand(follower* one, const wire::follow& request);
  void DropDemand(follower* one);
  void TellDemand(follower* told, wire::update* update) const;
  feed_update Make(instant now, const link_id& to, follower* told,
                   const feed_content& content);

  std::map<link_id, follower> followers_;
  // Sums over all followers.
  std::map<std::pair<service_name, data_centre_name>, double> demand_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_CONTROL_FOLLOWER_FEED_H_
