#include "Control/data_centre_closures.h"

namespace lavendertack {

std::set<data_centre_name> data_centre_closures::Update(
    instant now, const std::set<data_centre_name>& closed, milliseconds delay) {
  std::set<data_centre_name> reopened;
  for (const data_centre_name& name : closed_) {
    if (closed.contains(name)) continue;
    reopens_at_[name] = now + delay;
    reopened.insert(name);
  }
  closed_ = closed;
  return reopened;
}

bool data_centre_closures::Tick(instant now) {
  return std::erase_if(reopens_at_, [now](const auto& entry) {
           return entry.second <= now;
         }) > 0;
}

std::set<data_centre_name> data_centre_closures::Closed() const {
  std::set<data_centre_name> closed = closed_;
  for (const auto& [name, reopens_at] : reopens_at_) closed.insert(name);
  return closed;
}

}  // namespace lavendertack
