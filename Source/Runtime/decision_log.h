// Rate-limited log of decisions. Lines about single flows beyond the limit are
// left out of the log; their number is counted and logged. The latest decisions
// stay in memory, logged or not, to explain how a flow was routed.
#ifndef LAVENDERTACK_RUNTIME_DECISION_LOG_H_
#define LAVENDERTACK_RUNTIME_DECISION_LOG_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/instant.h"
#include "Node/node.h"

namespace lavendertack {

// Decisions kept in memory.
inline constexpr std::size_t kMaxKeptDecisions = 16'384;

// A decision that is kept in memory, and the time when it was made.
struct kept_decision {
  instant when;
  log_line line;
};

class decision_log {
 public:
  using write_hook =
      std::function<void(const std::string& part, const std::string& text)>;

  // Writes at most `lines_per_s` lines about single flows each second.
  decision_log(std::uint32_t lines_per_s, write_hook write)
      : lines_per_s_(lines_per_s), write_(std::move(write)) {}

  // Logs a line. A line about a single flow is also kept in memory, and left
  // out of the log when it exceeds the limit.
  void Add(instant now, log_line line);
  // Logs the number of lines left out, once the current second has passed.
  void Tick(instant now);

  // Returns the kept decisions about a flow, or about one of its requests if
  // `request` is set, oldest first.
  std::vector<const kept_decision*> Find(
      flow_id flow, std::optional<request_number> request) const;

  // Lines about single flows since the start: logged, and left out.
  std::uint64_t written() const { return written_; }
  std::uint64_t left_out() const { return left_out_; }

 private:
  // Whether one more line is within the limit; counts the line if so.
  bool AllowLine(instant now);

  std::uint32_t lines_per_s_;
  write_hook write_;
  instant window_start_;
  std::uint32_t lines_in_window_ = 0;
  std::uint64_t unreported_left_out_ = 0;
  std::uint64_t written_ = 0;
  std::uint64_t left_out_ = 0;
  std::vector<kept_decision> kept_;
  // Slot of the oldest decision, once all slots are in use.
  std::size_t next_slot_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_DECISION_LOG_H_
