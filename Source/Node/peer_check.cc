#include "Node/peer_check.h"

#include <algorithm>

#include "Directory/log_entry.h"

namespace lavendertack {
namespace {

bool IsReadable(const std::string& value) {
  return DecodeEntry(value).has_value();
}

bool IsReadable(const wire::state_snapshot& snapshot) {
  wire::node_state state;
  if (!state.ParseFromString(snapshot.state())) return false;
  const wire::directory_state& saved_directory = state.directory();
  return saved_directory.applied() == snapshot.index() &&
         std::holds_alternative<change_ticket>(
             DecodeTicket(saved_directory.objects()));
}

}  // namespace

bool HasReadableEntries(const wire::agreement_message& message) {
  if (message.has_accept()) return IsReadable(message.accept().value());
  if (message.has_promise() &&
      message.promise().accepted_number().round() != 0) {
    // The entry is left out if the receiver has it.
    return message.promise().accepted_value().empty() ||
           IsReadable(message.promise().accepted_value());
  }
  if (message.has_snapshot()) return IsReadable(message.snapshot());
  return std::all_of(
      message.chosen().values().begin(), message.chosen().values().end(),
      [](const std::string& value) { return IsReadable(value); });
}

}  // namespace lavendertack
