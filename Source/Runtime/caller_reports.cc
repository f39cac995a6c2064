#include "Runtime/caller_reports.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lavendertack {
namespace {

// Least time between two lines about one service and priority. The limit on
// lines about single flows doesn't apply to them: resets of refused openings
// use it up, and the line would be missing when it is needed.
constexpr milliseconds kLogInterval{5000};
// Callers named in a line.
constexpr std::size_t kMaxLoggedCallers = 5;

std::string Labels(const refusal_class& of) {
  return FormatLabel("service", of.service.value) + "," +
         FormatLabel("priority", std::to_string(of.priority));
}

void ExposeFamily(
    const caller_shares_by_class& callers, const char* name, const char* type,
    const char* help,
    const std::function<std::uint64_t(const caller_shares&)>& value,
    exposition_writer* out) {
  out->BeginFamily(name, type, help);
  for (const auto& [of, shares] : callers) {
    out->AddSample(Labels(of), value(shares));
  }
}

}  // namespace

void ExposeCallers(const caller_shares_by_class& callers,
                   exposition_writer* out) {
  ExposeFamily(
      callers, "callers_tracked", "gauge",
      "Client accounts whose openings are counted.",
      [](const auto& shares) { return shares.tracked(); }, out);
  ExposeFamily(
      callers, "callers_above_share", "gauge",
      "Client accounts above their fair share while openings are refused.",
      [](const auto& shares) { return shares.above_share(); }, out);
  ExposeFamily(
      callers, "caller_retries_total", "counter",
      "Openings that were retries of refused attempts.",
      [](const auto& shares) { return shares.retries(); }, out);
}

void refused_callers_log::Tick(instant now, caller_shares_by_class* callers,
                               event_log* log) {
  if (now - last_written_ < kLogInterval) return;
  last_written_ = now;
  for (auto& [of, shares] : *callers) {
    std::string refused;
    for (const auto& [caller, openings] :
         shares.TakeRefused(now, kMaxLoggedCallers)) {
      if (!refused.empty()) refused += ' ';
      refused += ToString(caller) + "=" + std::to_string(openings);
    }
    if (refused.empty()) continue;
    log->Write(
        "callers_refused",
        {{"service", of.service.value},
         {"priority", static_cast<std::int64_t>(of.priority)},
         {"refused", refused},
         {"tracked", static_cast<std::int64_t>(shares.tracked())},
         {"above_share", static_cast<std::int64_t>(shares.above_share())},
         {"retries_total", static_cast<std::int64_t>(shares.retries())}});
  }
}

}  // namespace lavendertack
