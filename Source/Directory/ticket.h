// Change tickets: the only way in which operators change anything. A ticket
// carries the whole new state of every object that it touches.
#ifndef LAVENDERTACK_DIRECTORY_TICKET_H_
#define LAVENDERTACK_DIRECTORY_TICKET_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// What is wrong with a ticket: the path of the field and why.
struct ticket_error {
  std::string field;
  std::string reason;
};

struct service_spec {
  service_name name;
  std::vector<class_name> classes;
  seconds flow_idle{0};  // A flow without packets for so long is forgotten.
  bool removed = false;
};

struct class_spec {
  class_name name;
  class_price price;
  bool removed = false;
};

struct data_centre_spec {
  data_centre_name name;
  bool out = false;
};

struct change_ticket {
  ticket_number number;
  std::vector<service_spec> services;
  std::vector<class_spec> classes;
  std::vector<data_centre_spec> data_centres;
};

// Reads a ticket as operators write it; all errors at once.
std::variant<change_ticket, std::vector<ticket_error>> ParseTicket(
    std::string_view json);

// The ticket in the form in which it is agreed on and stored: equal tickets
// have equal bytes.
std::string EncodeTicket(const change_ticket& ticket);
std::variant<change_ticket, ticket_error> DecodeTicket(std::string_view bytes);

}  // namespace lavendertack

#endif  // LAVENDERTACK_DIRECTORY_TICKET_H_
