// Event loop of one instance: converts datagrams, messages, operators' requests
// and timer ticks to events, and effects to datagrams, messages and records
// that are synced to disk.
#ifndef LAVENDERTACK_RUNTIME_INSTANCE_LOOP_H_
#define LAVENDERTACK_RUNTIME_INSTANCE_LOOP_H_

#include <atomic>
#include <string>
#include <variant>

#include "Config/settings.h"

namespace lavendertack {

// Why an instance can't start or go on.
struct instance_error {
  std::string what;
};

// Opens all sockets and files, then runs until stopped. `stop` is the number of
// stop signals received so far: the first one starts a graceful stop, the
// second one stops immediately.
std::variant<std::monostate, instance_error> RunInstance(
    const settings& settings, const std::atomic<int>& stop);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_INSTANCE_LOOP_H_
