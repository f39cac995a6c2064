#include "Control/held_data_centres.h"

namespace lavendertack {

std::set<data_centre_name> held_data_centres::Update(
    instant now, const std::set<data_centre_name>& out, milliseconds hold) {
  std::set<data_centre_name> back;
  for (const data_centre_name& name : out_) {
    if (out.contains(name)) continue;
    held_until_[name] = now + hold;
    back.insert(name);
  }
  out_ = out;
  return back;
}

bool held_data_centres::Tick(instant now) {
  return std::erase_if(held_until_, [now](const auto& entry) {
           return entry.second <= now;
         }) > 0;
}

std::set<data_centre_name> held_data_centres::Closed() const {
  std::set<data_centre_name> closed = out_;
  for (const auto& [name, until] : held_until_) closed.insert(name);
  return closed;
}

}  // namespace lavendertack
