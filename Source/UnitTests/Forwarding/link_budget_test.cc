#include "Forwarding/link_budget.h"

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>

#include "Common/event_queue.h"
#include "Forwarding/flow_router.h"

namespace lavendertack {
namespace {

constexpr std::uint32_t kUrgent = 1;
constexpr std::uint32_t kPatient = 2;
constexpr bytes_per_s kLinkRate = 600'000;
// Requests per second that the link can carry, at 6 packets and 1,078 bytes
// with headers each.
constexpr double kLinkRequestsPerS = 550;
constexpr std::uint32_t kHeader = 34;
constexpr std::uint32_t kRequestBytes = 600;
// Packets of a connection without data, after its opening packet.
constexpr int kEmptyPackets = 4;

ipv4_endpoint RouteOf(std::uint32_t priority) {
  return {{0xc6120001}, {static_cast<std::uint16_t>(8000 + priority)}};
}

// The sending side of a link: a queue without a limit.
class link_queue {
 public:
  // Time until a packet that is sent at `now` has left the queue.
  microseconds Send(instant now, std::uint32_t datagram_bytes) {
    constexpr double kFraming = 46;
    const std::chrono::duration<double> transfer((datagram_bytes + kFraming) /
                                                 kLinkRate);
    free_at_ = std::max(free_at_, now) +
               std::chrono::duration_cast<microseconds>(transfer);
    return std::chrono::duration_cast<microseconds>(free_at_ - now);
  }

 private:
  instant free_at_;
};

struct class_counts {
  double started = 0;
  double in_time = 0;
  double InTime() const { return started > 0 ? in_time / started : 1; }
};

// Replays the load of callers who open a connection for each request,
// retransmit their opening packet and request, and try again at once when they
// were refused. Targets have room for everything, so only the link is short.
class link_replay {
 public:
  explicit link_replay(std::optional<bytes_per_s> capacity)
      : router_(&state_, {.own = {"a"}}, 1, capacity) {
    state_.has_manifest = true;
    for (const std::uint32_t priority : {kUrgent, kPatient}) {
      state_.routes[RouteOf(priority)] = {.shares = {{{"desk"}, 1}},
                                          .priority = priority};
    }
    for (int i = 0; i < 20; ++i) {
      state_.targets.Apply(
          queue_.Now(), {"10.0.0.1"},
          {.id = {"i-" + std::to_string(i)},
           .version = {1000, 1},
           .service = {"desk"},
           .address = {{0x0a000000U + static_cast<std::uint32_t>(i)}, {8080}},
           .data_centre = {"a"},
           .slots = 1000});
    }
  }

  // Requests at `rate` for `duration`, a fifth of them urgent.
  std::map<std::uint32_t, class_counts> Run(double rate,
                                            milliseconds duration) {
    counts_.clear();
    const microseconds gap(static_cast<std::int64_t>(1e6 / rate));
    const instant end = queue_.Now() + duration;
    for (int i = 0; queue_.Now() < end; ++i) {
      const std::uint32_t priority = i % 5 == 0 ? kUrgent : kPatient;
      StartRequest(priority);
      queue_.RunUntil(queue_.Now() + gap);
      if (i % 16 == 0) router_.Tick(queue_.Now());
    }
    return counts_;
  }

  // The same on connections that are open already.
  std::map<std::uint32_t, class_counts> RunOnOpenConnections(
      double rate, milliseconds duration) {
    counts_.clear();
    const microseconds gap(static_cast<std::int64_t>(1e6 / rate));
    const instant end = queue_.Now() + duration;
    for (int i = 0; queue_.Now() < end; ++i) {
      auto started = std::make_shared<request>();
      started->priority = i % 5 == 0 ? kUrgent : kPatient;
      started->started = queue_.Now();
      started->attempt = ++attempts_;
      ++counts_[started->priority].started;
      SendRequest(started, started->attempt,
                  TagOf({"i-" + std::to_string(i % 20)}), milliseconds(200));
      queue_.RunUntil(queue_.Now() + gap);
    }
    return counts_;
  }

  void Suspend(milliseconds duration) {
    queue_.RunUntil(queue_.Now() + duration);
  }

 private:
  struct request {
    std::uint32_t priority = 0;
    instant started;
    int tries = 0;
    std::uint32_t attempt = 0;  // Caller's port; events of others are ignored.
    bool open = false;
    bool done = false;
  };
  using request_ref = std::shared_ptr<request>;

  // Whether the caller has its answer or no longer waits for it.
  bool GivesUp(const request& r) const {
    constexpr milliseconds kDeadline{2000};
    return r.done || queue_.Now() - r.started > kDeadline;
  }

  void StartRequest(std::uint32_t priority) {
    auto started = std::make_shared<request>();
    started->priority = priority;
    started->started = queue_.Now();
    ++counts_[priority].started;
    StartTry(started);
  }

  void StartTry(const request_ref& r) {
    constexpr int kMaxTries = 3;
    if (GivesUp(*r) || ++r->tries > kMaxTries) return;
    r->attempt = ++attempts_;
    r->open = false;
    SendOpening(r, r->attempt, 0);
  }

  void SendOpening(const request_ref& r, std::uint32_t attempt,
                   std::uint32_t copy) {
    if (GivesUp(*r) || r->open || r->attempt != attempt) return;
    if (copy == 3) return StartTry(r);
    constexpr std::array kNext{milliseconds(200), milliseconds(400),
                               milliseconds(800)};
    queue_.ScheduleAfter(kNext[copy], [this, r, attempt, copy] {
      SendOpening(r, attempt, copy + 1);
    });
    flow_packet packet = MakePacket(*r);
    packet.opens = true;
    packet.retransmission = copy;
    const forward_decision decision = router_.Route(queue_.Now(), packet);
    if (const auto* forward = std::get_if<forward_to_target>(&decision)) {
      const target_tag tag = forward->target->tag;
      AfterLink(packet, [this, r, attempt, tag] {
        if (r->done || r->open || r->attempt != attempt) return;
        r->open = true;
        SendRequest(r, attempt, tag, milliseconds(200));
      });
    } else if (std::holds_alternative<reset_caller>(decision)) {
      AfterLink(packet, [this, r, attempt] {
        if (!r->open && r->attempt == attempt) StartTry(r);
      });
    }
  }

  // Sent again until the answer has arrived or the caller gives up.
  void SendRequest(const request_ref& r, std::uint32_t attempt, target_tag tag,
                   milliseconds interval) {
    if (GivesUp(*r)) return;
    flow_packet packet = MakePacket(*r);
    packet.tag = tag;
    packet.data_bytes = kRequestBytes - kHeader;
    packet.datagram_bytes = kRequestBytes;
    const forward_decision decision = router_.Route(queue_.Now(), packet);
    if (std::holds_alternative<forward_to_target>(decision)) {
      AfterLink(packet, [this, r, tag] {
        queue_.ScheduleAfter(milliseconds(15),
                             [this, r, tag] { HandleAnswer(r, tag); });
      });
    }
    queue_.ScheduleAfter(interval, [this, r, attempt, tag, interval] {
      SendRequest(r, attempt, tag, interval * 2);
    });
  }

  void HandleAnswer(const request_ref& r, target_tag tag) {
    constexpr milliseconds kObjective{250};
    if (std::exchange(r->done, true)) return;
    if (queue_.Now() - r->started <= kObjective) ++counts_[r->priority].in_time;
    for (int i = 0; i < kEmptyPackets; ++i) {
      flow_packet packet = MakePacket(*r);
      packet.tag = tag;
      packet.acknowledged = 1000;
      router_.Route(queue_.Now(), packet);
      link_.Send(queue_.Now(), packet.datagram_bytes);
    }
  }

  void AfterLink(const flow_packet& packet, std::function<void()> action) {
    constexpr milliseconds kPathDelay{2};
    queue_.ScheduleAfter(
        link_.Send(queue_.Now(), packet.datagram_bytes) + kPathDelay,
        std::move(action));
  }

  flow_packet MakePacket(const request& r) const {
    return {.flow = {{{0x64400000 + r.attempt / 60'000},
                      {static_cast<std::uint16_t>(1 + r.attempt % 60'000)}},
                     RouteOf(r.priority)},
            .datagram_bytes = kHeader};
  }

  event_queue queue_;
  routing_state state_;
  flow_router router_;
  link_queue link_;
  std::uint32_t attempts_ = 0;
  std::map<std::uint32_t, class_counts> counts_;
};

double GoodputOf(const std::map<std::uint32_t, class_counts>& counts,
                 milliseconds duration) {
  double in_time = 0;
  for (const auto& [priority, count] : counts) in_time += count.in_time;
  return in_time / std::chrono::duration<double>(duration).count();
}

constexpr milliseconds kStep{4000};

// Goodput with as much load as the budget admits without refusals.
double BestGoodput(link_replay* replay) {
  return GoodputOf(replay->Run(0.75 * kLinkRequestsPerS, kStep), kStep);
}

// Guards against congestion collapse: resets and retransmissions that fill the
// link while nearly nothing is served.
TEST_CASE("the link isn't filled by more load than it can carry") {
  link_replay replay(kLinkRate);
  const double best = BestGoodput(&replay);
  REQUIRE(best > 0.73 * kLinkRequestsPerS);

  for (const double load : {1.3, 2.0, 5.0}) {
    DYNAMIC_SECTION(load << " times what the link can carry") {
      auto counts = replay.Run(load * kLinkRequestsPerS, kStep);
      INFO("goodput " << GoodputOf(counts, kStep) << " of " << best);
      REQUIRE(GoodputOf(counts, kStep) >= 0.85 * best);
      if (load * 0.2 < 0.75) {
        // Urgent requests fit alone.
        REQUIRE(counts[kUrgent].InTime() >= 0.95);
      }
    }
  }
  SECTION("after this process was suspended in the middle of the load") {
    replay.Run(2 * kLinkRequestsPerS, kStep);
    replay.Suspend(milliseconds(3000));
    auto counts = replay.Run(2 * kLinkRequestsPerS, kStep);
    REQUIRE(counts[kUrgent].InTime() >= 0.95);
  }
}

// Guards against late tries taking the room of new requests when even the
// urgent ones don't fit.
TEST_CASE("goodput at 10 times what the link can carry") {
  link_replay replay(kLinkRate);
  const double best = BestGoodput(&replay);
  auto counts = replay.Run(10 * kLinkRequestsPerS, kStep);
  INFO("goodput " << GoodputOf(counts, kStep) << " of " << best);
  REQUIRE(GoodputOf(counts, kStep) >= 0.85 * best);
}

// Requests per second on open connections that the link can carry. Without
// opening packets, a request takes 1,006 bytes.
constexpr double kOpenRequestsPerS = 596;

// Guards against a queue of requests on open connections, whose callers
// retransmit all of them. No connection can be refused to end it.
TEST_CASE("more requests on open connections than the link can carry") {
  link_replay replay(kLinkRate);
  const double best = GoodputOf(
      replay.RunOnOpenConnections(0.75 * kOpenRequestsPerS, kStep), kStep);

  for (const double load : {1.5, 3.0, 10.0}) {
    DYNAMIC_SECTION(load << " times what the link can carry") {
      auto counts =
          replay.RunOnOpenConnections(load * kOpenRequestsPerS, kStep);
      INFO("goodput " << GoodputOf(counts, kStep) << " of " << best);
      REQUIRE(GoodputOf(counts, kStep) >= 0.85 * best);
      if (load * 0.2 < 0.75) REQUIRE(counts[kUrgent].InTime() >= 0.95);
    }
  }
}

void RequireOpenConnectionsServedAfter(double load) {
  link_replay replay(kLinkRate);
  replay.RunOnOpenConnections(load * kOpenRequestsPerS, kStep);
  constexpr double kUsualLoad = 0.1 * kOpenRequestsPerS;
  replay.RunOnOpenConnections(kUsualLoad, milliseconds(1000));
  auto after = replay.RunOnOpenConnections(kUsualLoad, milliseconds(1000));
  REQUIRE(after[kUrgent].InTime() >= 0.99);
  REQUIRE(after[kPatient].InTime() >= 0.99);
}

// Guards against requests that are dropped longer than the load lasts.
TEST_CASE("a second after 1.5 and 3 times on open connections all are served") {
  RequireOpenConnectionsServedAfter(1.5);
  RequireOpenConnectionsServedAfter(3);
}
TEST_CASE("a second after 10 times on open connections all are served") {
  RequireOpenConnectionsServedAfter(10);
}

void RequireServedAfter(double load) {
  link_replay replay(kLinkRate);
  replay.Run(load * kLinkRequestsPerS, kStep);
  replay.Run(0.1 * kLinkRequestsPerS, milliseconds(1000));
  auto after = replay.Run(0.1 * kLinkRequestsPerS, milliseconds(1000));
  REQUIRE(after[kUrgent].InTime() >= 0.99);
  REQUIRE(after[kPatient].InTime() >= 0.99);
}

// Guards against refusals that outlast the load.
TEST_CASE("a second after a load of 1.3 and 2 times all are served") {
  RequireServedAfter(1.3);
  RequireServedAfter(2);
}
TEST_CASE("a second after a load of 5 times all are served") {
  RequireServedAfter(5);
}

TEST_CASE("without a known rate of the link nothing is refused") {
  link_budget link(std::nullopt);
  for (int i = 0; i < 100'000; ++i) link.RecordFollowing(instant{}, 1200);
  REQUIRE(link.CanOpen(instant{}, kPatient, false));
  REQUIRE(link.TakeReset(instant{}, kPatient));
  REQUIRE(link.Fill(instant{}) == 1);
}

TEST_CASE("the budget is spent by priority") {
  link_budget link(kLinkRate);
  instant now{seconds(100)};
  REQUIRE(link.CanOpen(now, kUrgent, false));
  REQUIRE(link.CanOpen(now, kPatient, false));
  const auto spend_down_to = [&](double fill) {
    while (link.Fill(now) > fill) link.RecordFollowing(now, 34);
  };

  SECTION("the lowest priority needs half of the bucket") {
    spend_down_to(0.45);
    REQUIRE_FALSE(link.CanOpen(now, kPatient, false));
    REQUIRE(link.CanOpen(now, kUrgent, false));
  }
  SECTION("the highest one may overdraw it, up to a limit") {
    spend_down_to(-0.9);
    REQUIRE(link.CanOpen(now, kUrgent, false));
    spend_down_to(-1.1);
    REQUIRE_FALSE(link.CanOpen(now, kUrgent, false));
  }
  SECTION("a retransmitted opening packet needs more than a first one") {
    spend_down_to(0.6);
    REQUIRE(link.CanOpen(now, kPatient, false));
    REQUIRE_FALSE(link.CanOpen(now, kPatient, true));
    REQUIRE(link.CanOpen(now, kUrgent, true));
  }
  SECTION("the debt is bounded, so it's paid soon") {
    for (int i = 0; i < 100'000; ++i) link.RecordFollowing(now, 1200);
    now += milliseconds(200);
    REQUIRE(link.CanOpen(now, kPatient, false));
  }
  SECTION("a priority that isn't in use any more doesn't count") {
    now += seconds(6);
    link.CanOpen(now, kPatient, false);
    link.Tick(now);
    spend_down_to(-0.5);
    REQUIRE(link.CanOpen(now, kPatient, false));
  }
  SECTION("a request on an open connection may overdraw it further") {
    spend_down_to(-1.05);
    REQUIRE_FALSE(link.CanOpen(now, kUrgent, false));
    REQUIRE(link.CanSendRequest(now, kPatient, false));
    spend_down_to(-1.3);
    REQUIRE_FALSE(link.CanSendRequest(now, kPatient, false));
    REQUIRE(link.CanSendRequest(now, kUrgent, false));
    REQUIRE_FALSE(link.CanSendRequest(now, kUrgent, true));
    spend_down_to(-1.6);
    REQUIRE_FALSE(link.CanSendRequest(now, kUrgent, false));
  }
  SECTION("callers of the highest priority are reset first") {
    while (link.TakeReset(now, kPatient)) {
    }
    int resets = 0;
    while (link.TakeReset(now, kUrgent)) ++resets;
    REQUIRE(resets > 5);
  }
  SECTION("resets have a limit of their own") {
    int resets = 0;
    while (link.TakeReset(now, kUrgent)) ++resets;
    REQUIRE(resets > 10);
    REQUIRE(link.Fill(now) == 1);
    now += milliseconds(100);
    REQUIRE(link.TakeReset(now, kUrgent));
  }
}

}  // namespace
}  // namespace lavendertack
