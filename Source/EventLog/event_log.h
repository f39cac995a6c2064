// Structured log: one JSON object a line. Never blocks and is bounded: lines
// about single flows have a budget, and what doesn't fit the pipe is left out;
// both are counted, and the counts are logged.
#ifndef LAVENDERTACK_EVENTLOG_EVENT_LOG_H_
#define LAVENDERTACK_EVENTLOG_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "Common/instant.h"

namespace lavendertack {

struct log_field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, bool> value;
};

struct event_log_settings {
  std::string instance;  // Stands in every line.
  // Lines about single flows a second; others aren't limited.
  std::uint32_t flow_lines_per_s = 0;
  // Bytes kept while the reader doesn't read.
  std::size_t buffer_bytes = 0;
};

class event_log {
 public:
  // Returns how many of the bytes were taken; 0 when none could be, now.
  using write_hook = std::function<std::size_t(std::string_view bytes)>;
  using wall_clock = std::function<std::int64_t()>;  // Unix milliseconds.

  event_log(event_log_settings settings, write_hook write, wall_clock clock)
      : settings_(std::move(settings)),
        write_(std::move(write)),
        clock_(std::move(clock)) {}

  // A change of what the process believes, or of its state.
  void Write(std::string_view event, std::initializer_list<log_field> fields);
  // Takes one line on a single flow out of the budget; when there is none
  // left, the line is counted as left out and its fields needn't be made.
  bool TakeFlowLine(instant now);
  // Writes what is buffered and, once a second, what was left out.
  void Tick(instant now);

  std::uint64_t written() const { return written_; }
  std::uint64_t left_out() const { return left_out_; }

 private:
  void LeaveOut();
  void Put(const std::string& line);
  void Flush();

  event_log_settings settings_;
  write_hook write_;
  wall_clock clock_;
  std::string buffer_;
  instant window_start_;
  std::uint32_t in_window_ = 0;
  std::uint64_t left_out_in_window_ = 0;
  std::uint64_t written_ = 0;
  std::uint64_t left_out_ = 0;
};

// Writes to the standard output, which it makes non-blocking.
event_log::write_hook StandardOutput();
std::int64_t UnixMilliseconds();

}  // namespace lavendertack

#endif  // LAVENDERTACK_EVENTLOG_EVENT_LOG_H_
