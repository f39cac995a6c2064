// Runs one instance: turns datagrams, messages, operators' requests and time
// into events, and effects into datagrams, messages and synced records.
#ifndef LAVENDERTACK_RUNTIME_INSTANCE_LOOP_H_
#define LAVENDERTACK_RUNTIME_INSTANCE_LOOP_H_

#include <atomic>
#include <string>
#include <variant>

#include "Config/settings.h"

namespace lavendertack {

// Why an instance could not start or go on.
struct instance_error {
  std::string what;
};

// Runs until `stop` is set. Opens every socket and file first.
std::variant<std::monostate, instance_error> RunInstance(
    const settings& settings, const std::atomic<int>& stop);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_INSTANCE_LOOP_H_
