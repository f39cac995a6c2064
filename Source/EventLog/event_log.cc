#include "EventLog/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <nlohmann/json.hpp>

namespace lavendertack {
namespace {

using nlohmann::ordered_json;

ordered_json ToJson(const log_field& field) {
  return std::visit([](const auto& value) { return ordered_json(value); },
                    field.value);
}

}  // namespace

void event_log::Write(std::string_view event,
                      std::initializer_list<log_field> fields) {
  ordered_json line;
  line["time_ms"] = clock_();
  line["instance"] = settings_.instance;
  line["event"] = event;
  for (const log_field& field : fields) {
    line[std::string(field.name)] = ToJson(field);
  }
  Append(line.dump(-1, ' ', false, ordered_json::error_handler_t::replace) +
         "\n");
}

bool event_log::AllowFlowLine(instant now) {
  if (now - window_start_ >= seconds(1)) Tick(now);
  if (flow_lines_in_window_ >= settings_.flow_lines_per_s) {
    CountLeftOut();
    return false;
  }
  ++flow_lines_in_window_;
  return true;
}

void event_log::CountLeftOut() {
  ++left_out_;
  ++unreported_left_out_;
}

void event_log::Tick(instant now) {
  if (now - window_start_ >= seconds(1)) {
    const std::uint64_t left_out = std::exchange(unreported_left_out_, 0);
    window_start_ = now;
    flow_lines_in_window_ = 0;
    if (left_out > 0) {
      Write("lines_left_out", {{"count", static_cast<std::int64_t>(left_out)}});
    }
  }
  Flush();
}

void event_log::Append(const std::string& line) {
  if (buffer_.size() + line.size() > settings_.buffer_bytes) {
    CountLeftOut();
    return;
  }
  ++written_;
  buffer_ += line;
}

void event_log::Flush() {
  if (buffer_.empty()) return;
  buffer_.erase(0, write_(buffer_));
}

event_log::write_hook StandardOutput() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  return [](std::string_view bytes) -> std::size_t {
    const ssize_t written = write(STDOUT_FILENO, bytes.data(), bytes.size());
    return written > 0 ? static_cast<std::size_t>(written) : 0;
  };
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace lavendertack
