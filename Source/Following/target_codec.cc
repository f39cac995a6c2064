#include "Following/target_codec.h"

#include <algorithm>
#include <limits>

namespace lavendertack {
namespace {

// Limits of the outcomes in one request, so that an invalid message can't
// outweigh those of all other followers.
constexpr int kMaxOutcomeRows = 256;
constexpr std::uint32_t kMaxOutcomeCount = 10'000;

wire::target_phase EncodePhase(target_phase phase) {
  switch (phase) {
    case target_phase::kReady:
      return wire::PHASE_READY;
    case target_phase::kDraining:
      return wire::PHASE_DRAINING;
    case target_phase::kGone:
      return wire::PHASE_GONE;
    case target_phase::kSilent:
      return wire::PHASE_SILENT;
  }
  return wire::PHASE_SILENT;
}

std::optional<target_phase> DecodePhase(wire::target_phase phase) {
  switch (phase) {
    case wire::PHASE_READY:
      return target_phase::kReady;
    case wire::PHASE_DRAINING:
      return target_phase::kDraining;
    case wire::PHASE_GONE:
      return target_phase::kGone;
    case wire::PHASE_SILENT:
      return target_phase::kSilent;
    default:
      return std::nullopt;
  }
}

}  // namespace

wire::target_record EncodeTarget(instant now, const registered_target& target) {
  const target_report& report = target.report;
  wire::target_record record;
  record.set_id(report.id.value);
  record.set_started_ms(report.version.started_ms);
  record.set_sequence(report.version.sequence);
  record.set_service(report.service.value);
  record.set_ip(report.address.ip.value);
  record.set_port(report.address.port.value);
  record.set_data_centre(report.data_centre.value);
  record.set_slots(report.slots);
  record.set_phase(EncodePhase(report.phase));
  record.set_unanswered(report.unanswered);
  record.set_restored(report.restored);
  // Absent means the full weight, as in records of builds without weights.
  if (report.weight < kFullWeight) {
    record.set_weight_percent(report.weight.value);
  }
  const auto cold_left =
      std::chrono::ceil<milliseconds>(target.cold_until - now).count();
  record.set_cold_left_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      cold_left, 0, std::numeric_limits<std::uint32_t>::max())));
  return record;
}

std::optional<target_report> DecodeTarget(const wire::target_record& record) {
  const auto phase = DecodePhase(record.phase());
  if (!phase || record.id().empty() ||
      record.port() > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return target_report{
      .id = {record.id()},
      .version = {record.started_ms(), record.sequence()},
      .service = {record.service()},
      .address = {{record.ip()}, {static_cast<std::uint16_t>(record.port())}},
      .data_centre = {record.data_centre()},
      .slots = record.slots(),
      .phase = *phase,
      .cold_left = milliseconds(record.cold_left_ms()),
      .unanswered = *phase == target_phase::kSilent && record.unanswered(),
      .restored = record.restored(),
      .weight = record.weight_percent() == 0
                    ? kFullWeight
                    : std::min(percent{record.weight_percent()}, kFullWeight)};
}

void EncodeOutcomes(const outcome_report& report, wire::follow* follow) {
  for (const auto& [tag, outcomes] : report.targets) {
    auto* row = follow->add_outcomes();
    row->set_tag(tag.value);
    row->set_slow(outcomes.slow);
    row->set_too_short(outcomes.too_short);
    row->set_no_answer(outcomes.no_answer);
    row->set_slow_ratio(outcomes.slow_ratio);
    row->set_callers(outcomes.callers.value);
    row->set_requests(outcomes.requests);
  }
  for (const auto& [key, total] : report.totals) {
    auto* row = follow->add_outcome_totals();
    row->set_service(key.first.value);
    row->set_data_centre(key.second.value);
    row->set_requests(total.requests);
    row->set_callers(total.callers.value);
  }
}

outcome_report DecodeOutcomes(const wire::follow& follow) {
  const auto limited = [](std::uint32_t count) {
    return std::min(count, kMaxOutcomeCount);
  };
  outcome_report report;
  for (int i = 0; i < std::min(follow.outcomes_size(), kMaxOutcomeRows); ++i) {
    const wire::outcome_record& row = follow.outcomes(i);
    report.targets[{row.tag()}] = {.slow = limited(row.slow()),
                                   .too_short = limited(row.too_short()),
                                   .no_answer = limited(row.no_answer()),
                                   .slow_ratio = limited(row.slow_ratio()),
                                   .callers = {row.callers()},
                                   .requests = limited(row.requests())};
  }
  for (int i = 0; i < std::min(follow.outcome_totals_size(), kMaxOutcomeRows);
       ++i) {
    const wire::outcome_total& row = follow.outcome_totals(i);
    report.totals[{{row.service()}, {row.data_centre()}}] = {
        .requests = limited(row.requests()), .callers = {row.callers()}};
  }
  return report;
}

wire::route_record EncodeRoute(const route_change& change) {
  wire::route_record record;
  record.set_ip(change.address.ip.value);
  record.set_port(change.address.port.value);
  record.set_removed(change.new_route == nullptr);
  if (change.new_route == nullptr) return record;
  record.set_priority(change.new_route->priority);
  for (const traffic_share& share : change.new_route->shares) {
    auto* encoded_share = record.add_shares();
    encoded_share->set_service(share.service.value);
    encoded_share->set_weight(share.weight);
  }
  return record;
}

route DecodeRoute(const wire::route_record& record) {
  route decoded{.shares = {}, .priority = record.priority()};
  for (const auto& share : record.shares()) {
    decoded.shares.push_back({{share.service()}, share.weight()});
  }
  return decoded;
}

}  // namespace lavendertack
