// The directory: services, classes and data centres as the agreed tickets
// leave them. Every instance applies the same entries in the same order.
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

// Accepted tickets that are remembered, by the highest numbers: a resend within
// so many tickets gets the first answer, a later one is outdated.
inline constexpr std::size_t kMaxAcceptedTickets = 8192;
// Of these, the newest are kept whole for operators to read.
inline constexpr std::size_t kKeptContents = 64;
// Fewest and most voters that a change may leave.
inline constexpr std::size_t kMinReplicas = 3;
inline constexpr std::size_t kMaxReplicas = 7;

// The ticket is in the directory, by the entry at `index`. A resend of an
// accepted ticket gets the same answer as the first time.
struct ticket_accepted {
  log_index index;
};
// Another ticket with this number was accepted, by the entry at `index`.
struct ticket_conflict {
  ticket_number number;
  log_index index;
};
// The number isn't above the newest accepted one.
struct ticket_outdated {
  ticket_number newest;
};
// The ticket names something that isn't there.
struct ticket_invalid {
  ticket_error error;
};

using ticket_result = std::variant<ticket_accepted, ticket_conflict,
                                   ticket_outdated, ticket_invalid>;

struct accepted_ticket {
  digest content;  // Of the encoded ticket.
  log_index index;
  std::string encoded;  // Empty when it isn't kept any more.
};

// What a change of the voters would do as the next entry.
struct replicas_changed {};
// The voters are already as the change leaves them, as after a resend.
struct replicas_unchanged {};
struct replicas_refused {
  std::string reason;
};
using replica_change_result =
    std::variant<replicas_changed, replicas_unchanged, replicas_refused>;

class directory {
 public:
  // The verdict that `ticket` would get as the next entry. Changes nothing.
  ticket_result Check(const change_ticket& ticket) const;

  // Applies the agreed entry at `index`, which must be applied() + 1.
  // Returns the verdict; only an accepted ticket changes objects.
  ticket_result Apply(log_index index, const change_ticket& ticket);

  // The same for a change of the voters. One that is refused changes nothing.
  replica_change_result Check(const replica_change& change) const;
  replica_change_result Apply(log_index index, const replica_change& change);

  // Applies the first entry.
  void Apply(log_index index, const bootstrap_entry& founding);

  // Tickets may name the data centre from now on.
  void AddDataCentre(const data_centre_name& name);

  // The whole state, and back.
  wire::directory_state Save() const;
  void Load(const wire::directory_state& state);

  // Counts an agreed entry at `index` that changes no object.
  void AdvanceApplied(log_index index);

  log_index applied() const { return applied_; }
  ticket_number newest() const;

  const service_spec* FindService(const service_name& name) const;
  const class_spec* FindClass(const class_name& name) const;
  const data_centre_spec* FindDataCentre(const data_centre_name& name) const;
  bool IsOutOfService(const data_centre_name& name) const;

  // Empty before the first entry.
  const replica_set& replicas() const { return replicas_; }
  const std::set<data_centre_name>& known_data_centres() const {
    return known_data_centres_;
  }
  const std::map<service_name, service_spec>& services() const {
    return services_;
  }
  const std::map<class_name, class_spec>& classes() const { return classes_; }
  const std::map<data_centre_name, data_centre_spec>& data_centres() const {
    return data_centres_;
  }
  const std::map<ticket_number, accepted_ticket>& accepted() const {
    return accepted_;
  }

 private:
  std::optional<ticket_error> CheckReferences(
      const change_ticket& ticket) const;

  void Remember(const change_ticket& ticket, log_index index);
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
