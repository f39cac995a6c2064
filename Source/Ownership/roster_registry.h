// The agreed rosters: for each data centre, the instances that may own services
// there. They depend on the agreed log alone, so that all instances that have
// applied the same entries have the same rosters.
#ifndef LAVENDERTACK_OWNERSHIP_ROSTER_REGISTRY_H_
#define LAVENDERTACK_OWNERSHIP_ROSTER_REGISTRY_H_

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "Directory/log_entry.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// Roster of one data centre.
struct roster {
  log_index index;  // Log entry that set the roster; 0 if there is none yet.
  std::set<instance_name> instances;  // Members.
  std::set<instance_name> previous;   // Members of the preceding roster.
  // Members of any earlier roster that aren't in this one.
  std::set<instance_name> removed;

  bool Contains(const instance_name& name) const {
    return instances.contains(name);
  }
};

// Number of members of a roster of `size` that must have applied the next
// roster, so that the others can't form the majority that renews a lease for
// the earlier one.
constexpr std::size_t BlockingQuorumSize(std::size_t size) {
  return (size + 1) / 2;
}

// Rosters of all data centres.
class roster_registry {
 public:
  // Whether `change` would be accepted as the next entry: it is based on the
  // current roster, has at least one instance, and retains at least
  // BlockingQuorumSize of the current members.
  bool CanApply(const roster_change& change) const;

  // Applies the agreed entry at `index`. Returns false and leaves the rosters
  // unchanged if the change isn't accepted.
  bool Apply(log_index index, const roster_change& change);

  // Returns an empty roster for an unknown data centre.
  const roster& Find(const data_centre_name& name) const;
  // Instance that the current roster assigns the service to; nullopt if the
  // data centre has no roster.
  std::optional<instance_name> OwnerOf(const service_name& service,
                                       const data_centre_name& name) const;
  const std::map<data_centre_name, roster>& rosters() const { return rosters_; }
  // Sets a roster that was loaded from a snapshot.
  void RestoreRoster(const data_centre_name& name, roster restored) {
    rosters_[name] = std::move(restored);
  }

 private:
  std::map<data_centre_name, roster> rosters_;
};

// Converts the rosters to and from their form in snapshots.
wire::roster_state SaveRosters(const roster_registry& registry);
roster_registry LoadRosters(const wire::roster_state& state);

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_ROSTER_REGISTRY_H_
