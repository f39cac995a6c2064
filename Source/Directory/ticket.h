// Change tickets, the only way for operators to change services, classes and
// data centres. A ticket contains the complete new state of each object that it
// changes.
#ifndef LAVENDERTACK_DIRECTORY_TICKET_H_
#define LAVENDERTACK_DIRECTORY_TICKET_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Error in a ticket: path of the field, as `services[0].name`, and reason.
struct ticket_error {
  std::string field;
  std::string reason;
};

// State of a service. If `removed`, only the name is used.
struct service_spec {
  service_name name;
  std::vector<class_name> classes;
  seconds flow_idle{0};  // Idle timeout of flows, 1 s to 86400 s.
  bool removed = false;
};

// State of a request class. If `removed`, only the name is used.
struct class_spec {
  class_name name;
  class_price price;  // Per request, 0 to 1000000.
  bool removed = false;
};

// State of a data centre.
struct data_centre_spec {
  data_centre_name name;
  bool out = false;  // Taken out of service.
};

// A change ticket. ParseTicket sorts each list by name.
struct change_ticket {
  ticket_number number;
  std::vector<service_spec> services;
  std::vector<class_spec> classes;
  std::vector<data_centre_spec> data_centres;
};

// Parses a ticket from its JSON form. Returns all errors if it is invalid.
std::variant<change_ticket, std::vector<ticket_error>> ParseTicket(
    std::string_view json);

// Encodes a ticket as an entry of the agreed log. Equal tickets have equal
// bytes.
std::string EncodeTicket(const change_ticket& ticket);
// Decodes a ticket from a log entry. Returns an error if `bytes` isn't an
// encoded ticket.
std::variant<change_ticket, ticket_error> DecodeTicket(std::string_view bytes);

}  // namespace lavendertack

#endif  // LAVENDERTACK_DIRECTORY_TICKET_H_
