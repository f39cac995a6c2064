// The log's lines, with a cap on those about single flows: decisions beyond
// it are counted, and the count is logged. The latest decisions are kept in
// memory, capped or not, to explain where a flow went.
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
inline constexpr std::size_t kKeptDecisions = 16'384;

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

  void Add(instant now, log_line line);
  // Logs what was left out in a second that is over.
  void Tick(instant now);

  // What is kept on a flow, or one of its requests, oldest first.
  std::vector<const kept_decision*> Find(
      flow_id flow, std::optional<request_number> request) const;

  std::uint64_t written() const { return written_; }
  std::uint64_t left_out() const { return left_out_; }

 private:
  bool MayWrite(instant now);

  std::uint32_t lines_per_s_;
  write_hook write_;
  instant window_start_;
  std::uint32_t in_window_ = 0;
  std::uint64_t left_out_in_window_ = 0;
  std::uint64_t written_ = 0;
  std::uint64_t left_out_ = 0;
  std::vector<kept_decision> kept_;
  std::size_t next_ = 0;  // Where the next one goes.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_RUNTIME_DECISION_LOG_H_
