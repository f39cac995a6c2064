#include "Node/peer_check.h"

#include <algorithm>

#include "Directory/log_entry.h"

namespace lavendertack {
namespace {

bool IsReadable(const std::string& value) {
  return DecodeEntry(value).has_value();
}

}  // namespace

bool HasReadableEntries(const wire::agreement_message& message) {
  if (message.has_accept()) return IsReadable(message.accept().value());
  if (message.has_promise() &&
      message.promise().accepted_number().round() != 0) {
    return IsReadable(message.promise().accepted_value());
  }
  return std::all_of(message.chosen().values().begin(),
                     message.chosen().values().end(), IsReadable);
}

}  // namespace lavendertack
