// Structured log with one JSON object per line. Writing never blocks, and
// memory use is bounded: lines about single flows are rate-limited, and lines
// that don't fit the buffer are left out. The number of lines left out is
// counted and logged.
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

// One key and its value in a log line.
struct log_field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, bool> value;
};

struct event_log_settings {
  std::string instance;  // Written to every line.
  // Maximum lines about single flows per second. Other lines aren't
  // rate-limited.
  std::uint32_t flow_lines_per_s = 0;
  // Maximum number of bytes buffered while the output accepts none.
  std::size_t buffer_bytes = 0;
};

class event_log {
 public:
  // Writes without blocking and returns the number of bytes written, 0 when
  // none can be written at the moment.
  using write_hook = std::function<std::size_t(std::string_view bytes)>;
  using wall_clock = std::function<std::int64_t()>;  // Unix milliseconds.

  event_log(event_log_settings settings, write_hook write, wall_clock clock)
      : settings_(std::move(settings)),
        write_(std::move(write)),
        clock_(std::move(clock)) {}

  // Logs an event with its fields, preceded by the time, the instance's name
  // and the event's name.
  void Write(std::string_view event, std::initializer_list<log_field> fields);
  // Whether the rate limit allows another line about a single flow. If true,
  // the line counts towards the limit; if false, it is counted as left out, and
  // the caller needn't build its fields.
  bool AllowFlowLine(instant now);
  // Flushes the buffer and, once a second, logs the number of lines left out
  // since the last such line. To be called at a regular interval.
  void Tick(instant now);

  // Lines since the start: written to the buffer, and left out.
  std::uint64_t written() const { return written_; }
  std::uint64_t left_out() const { return left_out_; }

 private:
  void CountLeftOut();
  void Append(const std::string& line);
  void Flush();

  event_log_settings settings_;
  write_hook write_;
  wall_clock clock_;
  std::string buffer_;
  instant window_start_;
  std::uint32_t flow_lines_in_window_ = 0;
  std::uint64_t unreported_left_out_ = 0;
  std::uint64_t written_ = 0;
  std::uint64_t left_out_ = 0;
};

// Makes the standard output non-blocking and returns a hook that writes to it.
event_log::write_hook StandardOutput();
// Milliseconds since the Unix epoch, from the system clock.
std::int64_t UnixMilliseconds();

}  // namespace lavendertack

#endif  // LAVENDERTACK_EVENTLOG_EVENT_LOG_H_
