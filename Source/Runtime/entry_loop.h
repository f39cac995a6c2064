// Runs an entry instance: packets, links to the control instances, readiness.
#ifndef LAVENDERTACK_RUNTIME_ENTRY_LOOP_H_
#define LAVENDERTACK_RUNTIME_ENTRY_LOOP_H_

#include <variant>

#include "Runtime/fleet_process.h"

namespace lavendertack {

// Runs until the signal to stop, and then until callers have gone elsewhere.
std::variant<std::monostate, fleet_error> RunEntry(
    const fleet_settings& settings, const fleet_adapter& adapter,
    settings_file* file, process_signals* signals);

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_ENTRY_LOOP_H_
