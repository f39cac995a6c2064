// Shows operators which callers an entry instance refuses: metrics and a log
// line.
#ifndef LAVENDERTACK_RUNTIME_CALLER_REPORTS_H_
#define LAVENDERTACK_RUNTIME_CALLER_REPORTS_H_

#include <map>

#include "Common/exposition_writer.h"
#include "EventLog/event_log.h"
#include "Forwarding/caller_shares.h"

namespace lavendertack {

using caller_shares_by_class = std::map<refusal_class, caller_shares>;

// Writes the metrics of the callers' shares.
void ExposeCallers(const caller_shares_by_class& callers,
                   exposition_writer* out);

// Logs the most refused callers of each class at a bounded rate.
class refused_callers_log {
 public:
  // To be called at a regular interval. Writes nothing while no caller is
  // refused.
  void Tick(instant now, caller_shares_by_class* callers, event_log* log);

 private:
  instant last_written_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_CALLER_REPORTS_H_
