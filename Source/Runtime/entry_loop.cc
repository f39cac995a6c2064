#include "Runtime/entry_loop.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <zmq.hpp>

#include "Entry/entry_instance.h"
#include "Runtime/announcement_socket.h"
#include "Runtime/caller_reports.h"
#include "Runtime/fleet_links.h"
#include "Runtime/fleet_queries.h"
#include "Runtime/http_server.h"
#include "Runtime/packet_socket.h"
#include "Runtime/process_time.h"
#include "Runtime/query_port.h"

namespace lavendertack {
namespace {

// Time between two ticks of the instance.
constexpr milliseconds kTickInterval{50};
// The same until the instance knows all targets: connections to the control
// instances are being established, and a request is due as soon as one is.
constexpr milliseconds kStartTickInterval{10};
// Most batches of packets read per iteration of the loop, so that the other
// sockets are read in time.
constexpr int kBatchesPerIteration = 8;
// Readiness probes answered concurrently, and the largest body of a probe.
constexpr unsigned kReadinessThreads = 3;
constexpr std::size_t kMaxReadinessBodyBytes = 4096;
constexpr double kBytesPerMegabit = 125'000;

std::optional<bytes_per_s> LinkCapacity(const fleet_settings& from) {
  const auto& role = std::get<entry_role_settings>(from.role);
  if (role.link_mbps <= 0) return std::nullopt;
  return role.link_mbps * kBytesPerMegabit;
}

entry_settings EntrySettings(const fleet_settings& from) {
  return {.self = ControlName(from.self),
          .data_centre = from.data_centre,
          .seeds = ControlNames(from.seeds),
          .link_capacity = LinkCapacity(from),
          .report_interval = from.heartbeat_interval,
          .seed = RandomNumber(),
          .stop_within = from.stop_within,
          .observe_targets = from.observe_targets};
}

endpoint ToEndpoint(const ipv4_endpoint& from) {
  return {ToString(from.ip), from.port.value};
}

class entry_loop {
 public:
  entry_loop(const fleet_settings& settings, const fleet_adapter& adapter,
             settings_file* file, process_signals* signals)
      : settings_(settings),
        adapter_(adapter),
        settings_file_(file),
        signals_(signals),
        log_(MakeEventLog(settings)),
        entry_(EntrySettings(settings)),
        links_(&context_, settings.peer_port),
        packet_socket_(adapter.packets.max_bytes) {}

  std::optional<fleet_error> Start() {
    const auto& addresses = std::get<entry_role_settings>(settings_.role);
    callers_port_ = addresses.packets.port;
    if (auto reason = packet_socket_.Open(addresses.packets)) {
      return fleet_error{ToString(addresses.packets) + ": " + *reason};
    }
    // Without announcements, control instances are found through the seeds.
    if (auto reason =
            announcements_.Open({settings_.self, settings_.peer_port})) {
      log_.Write("announcements_not_received", {{"reason", *reason}});
    }
    readiness_server_ = std::make_unique<http_server>(
        ToEndpoint(addresses.readiness),
        http_limits{.body_bytes = kMaxReadinessBodyBytes,
                    .threads = kReadinessThreads},
        [this](const http_request& request) {
          if (!adapter_.calls.is_readiness_probe(request)) {
            return adapter_.calls.answer_refused({404, "no such path"});
          }
          return adapter_.calls.answer_readiness(ready_);
        });
    OpenQueryPort(&queries_, settings_, &log_);
    log_.Write("started",
               {{"role", "entry"},
                {"packets", ToString(addresses.packets)},
                {"data_centre", settings_.data_centre.value},
                {"seeds", static_cast<std::int64_t>(settings_.seeds.size())}});
    return std::nullopt;
  }

  void Run() {
    next_tick_ = Now();
    while (!entry_.CanExit(Now())) {
      links_.Wait(
          {packet_socket_.file(), queries_.file(), announcements_.file()},
          next_tick_);
      bool more = true;
      for (int i = 0; more && i < kBatchesPerIteration; ++i) {
        more = packet_socket_.Receive(
            [this](std::span<std::uint8_t> packet) { HandlePacket(packet); });
      }
      links_.Receive(Now(), [this](const link_id&, const auto& message) {
        for (const auto& event : entry_.Receive(Now(), message)) {
          LogFollowerEvent(&log_, event);
        }
      });
      announcements_.Receive([this](const wire::fleet_message& message) {
        if (entry_.ReceiveAnnouncement(Now(), message)) next_tick_ = Now();
      });
      HandleHeldPackets();
      ResetLostFlows();
      queries_.AnswerAll([this](const std::string& path) {
        counts_.unsent = packet_socket_.unsent();
        return AnswerEntryQuery(
            {entry_, counts_, log_, links_, settings_.host_name, Now()}, path);
      });
      if (Now() >= next_tick_) Tick();
    }
    queries_.Close();
    log_.Write("stopped", {{"role", "entry"}});
    log_.Tick(Now());
  }

 private:
  void Tick() {
    const instant now = Now();
    next_tick_ = now + (entry_.follower().IsSynced(now) ? kTickInterval
                                                        : kStartTickInterval);
    if (signals_->stop > 0 && !stopping_) {
      stopping_ = true;
      ready_ = false;
      entry_.Stop(now);
      log_.Write("stopping", {{"signals", signals_->stop.load()}});
    }
    if (auto changed = settings_file_->ReadChanged(
            now, signals_->reload.exchange(false), &log_)) {
      entry_.SetSeeds(now, ControlNames(changed->seeds));
    }
    entry_.SetWallClock(now, milliseconds(UnixMilliseconds()));
    for (const auto& event : entry_.Tick(now)) LogFollowerEvent(&log_, event);
    for (const auto& unreachable : entry_.TakeUnreachableDataCentres()) {
      ++counts_.unreachable_data_centres;
      LogUnreachable(unreachable);
    }
    refused_callers_log_.Tick(now, &entry_.callers(), &log_);
    for (const follow_request& request : entry_.Requests(now)) {
      if (!links_.Send(now, request.to, request.message)) {
        entry_.RequestNotSent(request.to);
      }
    }
    links_.Tick(now, entry_.follower().ControlNames());
    UpdateReadiness(now);
    log_.Tick(now);
  }

  void LogUnreachable(const unreachable_data_centre& unreachable) {
    log_.Write(
        "data_centre_unreachable",
        {{"data_centre", unreachable.name.value},
         {"silent_ms", unreachable.silent.count()},
         {"answers_silent_ms", unreachable.answers_silent.count()},
         {"unanswered", static_cast<std::int64_t>(unreachable.unanswered)},
         {"confirmed", unreachable.is_confirmed}});
  }

  void LogWithdrawal(const withdrawal_change& change) {
    log_.Write("withdrawal",
               {{"from", ToString(change.from)},
                {"to", ToString(change.to)},
                {"cause", ToString(change.cause)},
                {"open_data_centres",
                 static_cast<std::int64_t>(change.open_data_centres)},
                {"controls_silent_ms", change.controls_silent.count()},
                {"openings_silent_ms", change.openings_silent.count()},
                {"unanswered_openings",
                 static_cast<std::int64_t>(change.unanswered_openings)},
                {"unanswered_targets",
                 static_cast<std::int64_t>(change.unanswered_targets)},
                {"return_after_ms", change.return_after.count()}});
  }

  void UpdateReadiness(instant now) {
    for (const auto& change : entry_.TakeWithdrawalChanges()) {
      LogWithdrawal(change);
    }
    const bool ready = entry_.IsReady(now);
    if (ready == ready_) return;
    ready_ = ready;
    const control_follower& follower = entry_.follower();
    log_.Write("readiness",
               {{"ready", ready},
                {"entry", static_cast<std::int64_t>(follower.applied().value)},
                {"targets",
                 static_cast<std::int64_t>(follower.state().targets.size())}});
  }

  void HandlePacket(std::span<std::uint8_t> bytes) {
    const instant now = Now();
    auto packet = adapter_.packets.decode(bytes);
    if (!packet) {
      ++counts_.malformed;
      return;
    }
    const forward_decision decision = entry_.Route(now, *packet);
    const auto* hold = std::get_if<hold_packet>(&decision);
    if (hold == nullptr) {
      Apply(now, *packet, bytes, decision);
      return;
    }
    ++counts_.held;
    LogPacket(now, *packet, "packet_held", hold->reason, nullptr);
    if (const auto evicted =
            entry_.held().Add({now, *packet, {bytes.begin(), bytes.end()}})) {
      DropHeld(now, *evicted);
    }
  }

  void DropHeld(instant now, const held_packet& held) {
    Apply(now, held.packet, {}, drop_packet{forward_reason::kNotYetCurrent});
  }

  // Decides again on the held packets.
  void HandleHeldPackets() {
    if (entry_.held().size() == 0) return;
    const instant now = Now();
    for (const held_packet& expired : entry_.held().TakeExpired(now)) {
      DropHeld(now, expired);
    }
    std::vector<forward_decision> decisions;
    std::vector<held_packet> packets =
        entry_.held().TakeIf([&](const held_packet& held) {
          const forward_decision decision = entry_.Route(now, held.packet);
          if (std::holds_alternative<hold_packet>(decision)) return false;
          decisions.push_back(decision);
          return true;
        });
    for (std::size_t i = 0; i < packets.size(); ++i) {
      Apply(now, packets[i].packet, packets[i].bytes, decisions[i]);
    }
    packet_socket_.Flush();
  }

  void ResetLostFlows() {
    const instant now = Now();
    for (const lost_flow& lost : entry_.TakeLostFlows()) {
      Apply(now, lost.last_packet, {}, reset_caller{lost.reason});
    }
    packet_socket_.Flush();
  }

  // Applies any decision except hold_packet.
  void Apply(instant now, const flow_packet& packet,
             std::span<std::uint8_t> bytes, const forward_decision& decision) {
    ++counts_.packets[std::visit([](const auto& v) { return v.reason; },
                                 decision)];
    if (const auto* forward = std::get_if<forward_to_target>(&decision)) {
      Forward(now, packet, bytes, *forward);
    } else if (const auto* reset = std::get_if<reset_caller>(&decision)) {
      packet_socket_.Send({packet.flow.caller.ip, callers_port_},
                          adapter_.packets.reset(packet));
      LogPacket(now, packet, "flow_reset", reset->reason, nullptr,
                reset->pressure);
    } else {
      const forward_reason reason = std::get<drop_packet>(decision).reason;
      const bool is_refusal = reason == forward_reason::kLinkFull ||
                              reason == forward_reason::kOverloaded;
      if (packet.opens && is_refusal) {
        ++counts_.resets_left_out;
      }
      LogPacket(now, packet, "packet_dropped", reason, nullptr);
    }
  }

  void Forward(instant now, const flow_packet& packet,
               std::span<std::uint8_t> bytes,
               const forward_to_target& decision) {
    const known_target& target = *decision.target;
    auto prefix = adapter_.packets.prefix(target.report.id);
    if (!prefix) {
      ++counts_.unaddressable;
      LogPacket(now, packet, "target_not_addressable", decision.reason,
                &target);
      return;
    }
    if (packet.opens) adapter_.packets.write_tag(bytes, target.tag);
    packet_socket_.SendReceived(target.report.address, *prefix, bytes);
    if (packet.opens) {
      LogPacket(now, packet, "flow_opened", decision.reason, &target);
    }
  }

  void LogPacket(instant now, const flow_packet& packet, std::string_view event,
                 forward_reason reason, const known_target* target,
                 slot_pressure pressure = 0) {
    if (!log_.AllowFlowLine(now)) return;
    const std::string_view target_id =
        target == nullptr ? std::string_view() : target->report.id.value;
    const target_tag tag = target == nullptr ? packet.tag : target->tag;
    log_.Write(event,
               {{"caller", ToString(packet.flow.caller)},
                {"route", ToString(packet.flow.route)},
                {"sequence", static_cast<std::int64_t>(packet.sequence)},
                {"copy", static_cast<std::int64_t>(packet.retransmission)},
                {"tag", static_cast<std::int64_t>(tag.value)},
                {"reason", ToString(reason)},
                {"target", target_id},
                {"pressure_percent", static_cast<std::int64_t>(pressure * 100)},
                {"manifest",
                 static_cast<std::int64_t>(entry_.follower().version().value)},
                {"entry", static_cast<std::int64_t>(
                              entry_.follower().applied().value)}});
  }

  const fleet_settings& settings_;
  const fleet_adapter& adapter_;
  settings_file* settings_file_;
  process_signals* signals_;
  event_log log_;
  zmq::context_t context_;
  entry_instance entry_;
  fleet_links links_;
  announcement_socket announcements_;
  packet_socket packet_socket_;
  port_number callers_port_;
  std::atomic<bool> ready_{false};
  std::unique_ptr<http_server> readiness_server_;
  instant next_tick_;
  bool stopping_ = false;
  entry_counts counts_;
  refused_callers_log refused_callers_log_;
  query_port queries_;
};

}  // namespace

std::variant<std::monostate, fleet_error> RunEntry(
    const fleet_settings& settings, const fleet_adapter& adapter,
    settings_file* file, process_signals* signals) {
  return RunLoop<entry_loop>(settings, adapter, file, signals);
}

}  // namespace lavendertack
