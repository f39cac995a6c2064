// Replicated configuration: services, classes, data centres and voters. Every
// instance applies the same log entries in the same order and so reaches the
// same state.
#ifndef LAVENDERTACK_DIRECTORY_DIRECTORY_H_
#define LAVENDERTACK_DIRECTORY_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "Common/hash.h"
#include "Common/replica_set.h"
#include "Directory/log_entry.h"
#include "Directory/ticket.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {

// Number of accepted tickets that are kept, those with the highest numbers. A
// resend of a kept ticket gets the original result, an older one is outdated.
inline constexpr std::size_t kMaxAcceptedTickets = 8192;
// Number of the newest accepted tickets whose content is kept for operators.
inline constexpr std::size_t kMaxEncodedTickets = 64;
// Bounds of the number of voters after a change. If there are fewer than
// kMinVoters, a change must leave at least as many as there are.
inline constexpr std::size_t kMinVoters = 3;
inline constexpr std::size_t kMaxVoters = 7;

// The ticket was applied by the log entry at `index`. A resend of an accepted
// ticket gets the same result as the original.
struct ticket_accepted {
  log_index index;
};
// A different ticket with this number was applied by the log entry at `index`.
struct ticket_conflict {
  ticket_number number;
  log_index index;
};
// The number isn't higher than `newest`, the highest accepted one.
struct ticket_outdated {
  ticket_number newest;
};
// The ticket refers to an object that doesn't exist.
struct ticket_invalid {
  ticket_error error;
};

using ticket_result = std::variant<ticket_accepted, ticket_conflict,
                                   ticket_outdated, ticket_invalid>;

// An accepted ticket as kept for the detection of resends.
struct accepted_ticket {
  digest content;  // Of the encoded ticket.
  log_index index;
  std::string encoded;  // Empty beyond the newest kMaxEncodedTickets.
};

// The change of the voters is valid and takes effect.
struct replicas_changed {};
// The voters are already as the change would leave them, for example after a
// resend.
struct replicas_unchanged {};
// The change is invalid and has no effect.
struct replicas_refused {
  std::string reason;
};
using replica_change_result =
    std::variant<replicas_changed, replicas_unchanged, replicas_refused>;

// State machine of the configuration entries of the agreed log.
class directory {
 public:
  // Returns the result that `ticket` would have as the next entry. Changes
  // nothing.
  ticket_result Check(const change_ticket& ticket) const;

  // Applies the agreed entry at `index` and returns its result. Only an
  // accepted ticket changes objects. Aborts unless `index` is applied() + 1.
  ticket_result Apply(log_index index, const change_ticket& ticket);

  // As above, for a change of the voters. A refused change leaves them as they
  // are.
  replica_change_result Check(const replica_change& change) const;
  replica_change_result Apply(log_index index, const replica_change& change);

  // Applies the bootstrap entry. Aborts unless `index` is 1.
  void Apply(log_index index, const bootstrap_entry& bootstrap);

  // Adds a data centre that tickets may refer to.
  void AddDataCentre(const data_centre_name& name);

  // Save returns the complete state as a snapshot, and Load replaces the state
  // by one. Load aborts if the snapshot is older than applied() or its objects
  // can't be decoded.
  wire::directory_state Save() const;
  void Load(const wire::directory_state& state);

  // Advances applied() to `index` for an entry that changes no object.
  void AdvanceApplied(log_index index);

  // Index of the last applied entry; 0 before the first one.
  log_index applied() const { return applied_; }
  // Highest number of an accepted ticket; 0 if there is none.
  ticket_number newest() const;

  // Return nullptr if there is no such object.
  const service_spec* FindService(const service_name& name) const;
  const class_spec* FindClass(const class_name& name) const;
  const data_centre_spec* FindDataCentre(const data_centre_name& name) const;
  // Whether a ticket has taken the data centre out of service.
  bool IsOutOfService(const data_centre_name& name) const;

  // The voters. Empty before the bootstrap entry.
  const replica_set& replicas() const { return replicas_; }
  // The data centres that tickets may refer to.
  const std::set<data_centre_name>& known_data_centres() const {
    return known_data_centres_;
  }
  // The objects as set by the accepted tickets.
  const std::map<service_name, service_spec>& services() const {
    return services_;
  }
  const std::map<class_name, class_spec>& classes() const { return classes_; }
  const std::map<data_centre_name, data_centre_spec>& data_centres() const {
    return data_centres_;
  }
  // The kept accepted tickets, at most kMaxAcceptedTickets.
  const std::map<ticket_number, accepted_ticket>& accepted() const {
    return accepted_;
  }

 private:
  // Returns the first reference to an object that doesn't exist.
  std::optional<ticket_error> CheckReferences(
      const change_ticket& ticket) const;

  void RecordAccepted(const change_ticket& ticket, log_index index);
  void ApplyObjects(const change_ticket& ticket);

  log_index applied_;
  replica_set replicas_;
  std::set<data_centre_name> known_data_centres_;
  std::map<ticket_number, accepted_ticket> accepted_;
  std::map<service_name, service_spec> services_;
  std::map<class_name, class_spec> classes_;
  std::map<data_centre_name, data_centre_spec> data_centres_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_DIRECTORY_DIRECTORY_H_
