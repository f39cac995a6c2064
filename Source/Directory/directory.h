// The directory: services, classes and data centres as the agreed tickets
// leave them. Every instance applies the same entries in the same order.
#ifndef LAVENDERTACK_DIRECTORY_DIRECTORY_H_
#define LAVENDERTACK_DIRECTORY_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "Directory/ticket.h"

namespace lavendertack {

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

using ticket_verdict = std::variant<ticket_accepted, ticket_conflict,
                                    ticket_outdated, ticket_invalid>;

struct accepted_ticket {
  std::uint64_t digest = 0;  // Hash of the encoded ticket.
  log_index index;
  std::string encoded;
};

class directory {
 public:
  // The verdict that `ticket` would get as the next entry. Changes nothing.
  ticket_verdict Check(const change_ticket& ticket) const;

  // Applies the agreed entry at `index`, which must be applied() + 1.
  // Returns the verdict; only an accepted ticket changes objects.
  ticket_verdict Apply(log_index index, const change_ticket& ticket);

  // Counts an agreed entry at `index` that changes no object.
  void Skip(log_index index);

  log_index applied() const { return applied_; }
  ticket_number newest() const;

  const service_spec* FindService(const service_name& name) const;
  const class_spec* FindClass(const class_name& name) const;
  const data_centre_spec* FindDataCentre(const data_centre_name& name) const;
  bool IsOut(const data_centre_name& name) const;

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

  log_index applied_;
  std::map<ticket_number, accepted_ticket> accepted_;
  std::map<service_name, service_spec> services_;
  std::map<class_name, class_spec> classes_;
  std::map<data_centre_name, data_centre_spec> data_centres_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_DIRECTORY_DIRECTORY_H_
