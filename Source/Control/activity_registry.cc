#include "Control/activity_registry.h"

namespace lavendertack {
namespace {

// An entry instance sends two requests a second. One that sent none for this
// long is no longer expected to send any.
constexpr milliseconds kEntryRetention{5000};

}  // namespace

void activity_registry::RecordControl(instant now,
                                      const data_centre_name& name) {
  activities_[name].last_message = now;
}

void activity_registry::RecordEntry(instant now, const data_centre_name& name) {
  activity& seen = activities_[name];
  seen.last_message = now;
  seen.last_entry = now;
}

void activity_registry::RecordReport(instant now,
                                     const data_centre_name& name) {
  if (auto it = activities_.find(name); it != activities_.end()) {
    it->second.last_message = now;
  }
}

std::optional<data_centre_activity> activity_registry::Find(
    instant now, const data_centre_name& name) const {
  const auto it = activities_.find(name);
  if (it == activities_.end()) return std::nullopt;
  const auto& [last_message, last_entry] = it->second;
  return data_centre_activity{
      .silent = std::chrono::duration_cast<milliseconds>(now - last_message),
      .has_entries = last_entry && now - *last_entry < kEntryRetention};
}

}  // namespace lavendertack
