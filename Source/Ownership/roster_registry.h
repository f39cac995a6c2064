// The agreed rosters: for each data centre the instances that may be in
// charge of services there. A function of the log alone.
#ifndef LAVENDERTACK_OWNERSHIP_ROSTER_REGISTRY_H_
#define LAVENDERTACK_OWNERSHIP_ROSTER_REGISTRY_H_

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "Directory/log_entry.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

struct roster {
  log_index index;  // The entry that made it; 0: there is none yet.
  std::set<instance_name> instances;
  std::set<instance_name> previous;  // The instances of the roster before it.
  // Instances that were in an earlier roster, and aren't in this one.
  std::set<instance_name> removed;

  bool Contains(const instance_name& name) const {
    return instances.contains(name);
  }
};

// Members of a roster of `size` that must know of its successor before no
// owner of it can renew its lease from the others.
constexpr std::size_t ClosingCount(std::size_t size) { return (size + 1) / 2; }

class roster_registry {
 public:
  // Tells whether `change` would count as the next entry: it's based on the
  // present roster, names an instance, and keeps enough of the present ones.
  bool CanApply(const roster_change& change) const;

  // Applies the agreed entry at `index`. False when it changes nothing.
  bool Apply(log_index index, const roster_change& change);

  const roster& Find(const data_centre_name& name) const;
  // The instance in charge of the service, by the present roster.
  std::optional<instance_name> OwnerOf(const service_name& service,
                                       const data_centre_name& name) const;
  const std::map<data_centre_name, roster>& rosters() const { return rosters_; }
  // Takes a roster from a snapshot.
  void Put(const data_centre_name& name, roster taken) {
    rosters_[name] = std::move(taken);
  }

 private:
  std::map<data_centre_name, roster> rosters_;
};

// For snapshots of the agreed state.
wire::roster_state SaveRosters(const roster_registry& book);
roster_registry LoadRosters(const wire::roster_state& state);

}  // namespace lavendertack

#endif  // LAVENDERTACK_OWNERSHIP_ROSTER_REGISTRY_H_
