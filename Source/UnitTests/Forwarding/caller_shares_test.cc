#include "Forwarding/caller_shares.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <deque>
#include <new>
#include <random>

#include "UnitTests/Forwarding/caller_load.h"

namespace {

std::size_t allocations = 0;

}  // namespace

// Counts allocations for the test of a full table.
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void* operator new(std::size_t size,
                                     const std::nothrow_t&) noexcept {
  ++allocations;
  return std::malloc(size);
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace lavendertack {
namespace {

const refusal_class kClass{{"catalogue"}, 2};
const ipv4_endpoint kRoute{{0xc6120001}, {8443}};
constexpr std::uint32_t kHeavyCaller = 0x64400000;
constexpr std::uint32_t kFirstCaller = 0x64410000;
constexpr std::uint32_t kCallers = 100;

// Where callers' positions come from.
enum class positions { kSameClock, kOwnClocks, kNewDraws };

// Instances of one data centre; each opening arrives at a random one.
class data_centre {
 public:
  data_centre(int size, double refused_share,
              positions from = positions::kSameClock,
              std::size_t max_callers = caller_shares::kMaxCallers)
      : share(refused_share), max_callers_(max_callers) {
    for (int i = 0; i < size; ++i) {
      const microseconds offset = from == positions::kOwnClocks
                                      ? i * microseconds(1'234'567'891)
                                      : microseconds(0);
      position_.push_back([this, from, offset](instant now, ipv4_address of) {
        if (from == positions::kNewDraws) return Draw();
        return RefusalPosition(now.time_since_epoch() + offset, kClass, of);
      });
      instances.emplace_back(position_.back(), max_callers_);
    }
  }

  void Restart(std::size_t index) {
    instances[index] = caller_shares(position_[index], max_callers_);
  }
  std::uint64_t Retries() const {
    std::uint64_t sum = 0;
    for (const caller_shares& shares : instances) sum += shares.retries();
    return sum;
  }
  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

  double share;
  std::deque<caller_shares> instances;
  caller_load load{kRoute,
                   [this](instant now, const flow_packet& packet) {
                     return instances[random_() % instances.size()].Refuses(
                         now, packet, share);
                   },
                   [this](instant now) {
                     for (caller_shares& shares : instances) shares.Tick(now);
                   }};

 private:
  std::size_t max_callers_;
  std::mt19937_64 random_{1};
  std::vector<caller_shares::position_hook> position_;
};

struct measured_load {
  load_counts heavy;
  load_counts others;
  load_counts all;
};

measured_load Measure(data_centre* site, milliseconds duration) {
  const auto counts = site->load.Run(duration);
  measured_load measured;
  measured.heavy = SumOf(counts, kHeavyCaller, kHeavyCaller + 1);
  measured.others = SumOf(counts, kFirstCaller, 0xffffffff);
  measured.all = measured.heavy;
  measured.all += measured.others;
  return measured;
}

flow_packet Opening(std::uint32_t caller, std::uint32_t retransmission = 0) {
  return {.flow = {{{caller}, {1025}}, kRoute},
          .opens = true,
          .retransmission = retransmission};
}

TEST_CASE("the fair share is the max-min one") {
  fair_share_bound bound;
  SECTION("a caller above it pays for all") {
    bound.Set({1, 10, 1}, 0);
    REQUIRE(bound.BoundFor(1.0 / 3) == Approx(6));
  }
  SECTION("several callers above it get the same") {
    bound.Set({8, 1, 6, 1}, 0);
    REQUIRE(bound.BoundFor(0.5) == Approx(3));
  }
  SECTION("equal callers all pay") {
    bound.Set({2, 2, 2, 2}, 0);
    REQUIRE(bound.BoundFor(0.25) == Approx(1.5));
  }
  SECTION("unknown callers have one opening each") {
    bound.Set({5}, 5);
    REQUIRE(bound.BoundFor(0.4) == Approx(1));
    REQUIRE(bound.BoundFor(0.7) == Approx(0.5));
  }
  SECTION("at the limits") {
    bound.Set({5, 3}, 0);
    REQUIRE(bound.BoundFor(0) == Approx(5));
    REQUIRE(bound.BoundFor(1) == 0);
  }
}

TEST_CASE("a caller's position stays the same for a decision period") {
  const auto position = [](milliseconds time, std::uint32_t caller) {
    return RefusalPosition(time, kClass, {caller});
  };
  int changes = 0;
  int below = 0;
  for (milliseconds time{0}; time < seconds(400); time += milliseconds(100)) {
    changes += position(time, 1) != position(time + milliseconds(100), 1);
    below += position(time, 1) < 0.3;
  }
  REQUIRE(changes == 1000);
  REQUIRE(below == Approx(0.3 * 4000).margin(10));

  SECTION("differs between callers and between classes") {
    REQUIRE(position(seconds(1), 1) != position(seconds(1), 2));
    REQUIRE(RefusalPosition(seconds(1), {{"catalogue"}, 3}, {1}) !=
            position(seconds(1), 1));
  }
  SECTION("is spread evenly over callers at each time") {
    for (int second = 0; second < 5; ++second) {
      int refused = 0;
      for (std::uint32_t caller = 0; caller < 2000; ++caller) {
        refused += position(seconds(second), caller) < 0.3;
      }
      REQUIRE(refused == Approx(600).margin(80));
    }
  }
}

TEST_CASE("the refused share is the required one") {
  const double share = GENERATE(0.05, 0.33, 0.6, 0.9);
  CAPTURE(share);
  SECTION("of equal callers") {
    data_centre site(1, share);
    site.load.Add(kFirstCaller, kCallers, 1);
    site.load.Run(seconds(10));
    const auto measured = Measure(&site, seconds(60));
    REQUIRE(measured.all.RefusedShare() == Approx(share).margin(0.02));
  }
  SECTION("of one caller with most of the load") {
    data_centre site(1, share);
    site.load.Add(kHeavyCaller, 1, 200);
    site.load.Add(kFirstCaller, kCallers, 0.2);
    site.load.Run(seconds(10));
    const auto measured = Measure(&site, seconds(60));
    REQUIRE(measured.all.RefusedShare() == Approx(share).margin(0.03));
  }
}

// Each instance sees a ninth of a caller's openings: less than one in the
// window of a caller below its share.
TEST_CASE("a local share is enough when callers' flows are spread") {
  data_centre site(9, 1.0 / 3);
  site.load.Add(kHeavyCaller, 1, 20);
  site.load.Add(kFirstCaller, kCallers, 1);
  site.load.Run(seconds(10));
  const auto measured = Measure(&site, seconds(60));
  CAPTURE(measured.heavy.RefusedShare(), measured.heavy.UnservedShare());
  CAPTURE(measured.others.UnservedShare());
  REQUIRE(measured.others.RefusedShare() < 0.05);
  REQUIRE(measured.all.RefusedShare() == Approx(1.0 / 3).margin(0.03));
}

// Equal callers with 1.5 times the load that can be served. The share to refuse
// is adjusted until two thirds of the requests are served, as the refusal level
// does. Refused openings and their resets use the link of the instance.
TEST_CASE("a stable decision needs fewer openings than a draw per retry") {
  const auto measure = [](int instances, positions from) {
    constexpr double kServed = 2.0 / 3;
    data_centre site(instances, 0.5, from);
    site.load.Add(kFirstCaller, kCallers, 2);
    for (int second = 0; second < 100; ++second) {
      const load_counts counts = Measure(&site, seconds(1)).all;
      const double served = 1 - counts.UnservedShare();
      site.share = std::clamp(site.share + 0.1 * (served - kServed), 0.0, 1.0);
    }
    const load_counts counts = Measure(&site, seconds(100)).all;
    REQUIRE(counts.UnservedShare() == Approx(1 - kServed).margin(0.02));
    return 1.0 * counts.refused / counts.requests;
  };
  const int instances = GENERATE(1, 9);
  const double stable = measure(instances, positions::kSameClock);
  const double own_clocks = measure(instances, positions::kOwnClocks);
  const double drawn = measure(instances, positions::kNewDraws);
  INFO(instances << " instances, refused openings per request: " << stable
                 << " stable, " << own_clocks
                 << " stable with different clocks, " << drawn << " drawn");
  REQUIRE(stable < 0.85 * drawn);
  REQUIRE(own_clocks < 1.05 * drawn);
}

TEST_CASE("retries of refused callers are counted") {
  data_centre site(1, 0.4);
  site.load.Add(kHeavyCaller, 1, 20);
  site.load.Add(kFirstCaller, kCallers, 1);
  const auto measured = Measure(&site, seconds(60));
  REQUIRE(site.Retries() == Approx(measured.all.Retries()).epsilon(0.02));

  SECTION("a later request isn't a retry") {
    const std::uint64_t before = site.Retries();
    site.share = 1;
    caller_shares& shares = site.instances[0];
    instant now = site.load.now() + seconds(10);
    REQUIRE(shares.Refuses(now, Opening(1), 1));
    now += milliseconds(401);
    REQUIRE(shares.Refuses(now, Opening(1), 1));
    REQUIRE(site.Retries() == before);
  }
  SECTION("nor is a request on another route") {
    const std::uint64_t before = site.Retries();
    caller_shares& shares = site.instances[0];
    const instant now = site.load.now() + seconds(10);
    flow_packet other = Opening(1);
    other.flow.route.port = {443};
    REQUIRE(shares.Refuses(now, Opening(1), 1));
    REQUIRE(shares.Refuses(now, other, 1));
    REQUIRE(site.Retries() == before);
  }
}

// A refused caller whose reset was lost sends its opening packet again after
// 200 and 600 ms, which is mostly in another decision period.
TEST_CASE("a retransmission gets the decision of its opening") {
  caller_shares shares([](instant now, ipv4_address caller) {
    return RefusalPosition(now.time_since_epoch(), kClass, caller);
  });
  constexpr double kShare = 0.4;
  std::vector<bool> refused;
  int same = 0;
  int same_last = 0;
  instant now{seconds(100)};
  // An opening every 5 ms, so copies of the one 40 and of the one 120 before.
  for (std::uint32_t i = 0; i < 2120; ++i, now += milliseconds(5)) {
    const auto caller = [i](std::uint32_t before) {
      return kFirstCaller + (i - before) % kCallers;
    };
    if (i % 10 == 0) shares.Tick(now);
    refused.push_back(shares.Refuses(now, Opening(caller(0)), kShare));
    if (i < 120) continue;
    same +=
        shares.Refuses(now, Opening(caller(40), 1), kShare) == refused[i - 40];
    same_last += shares.Refuses(now, Opening(caller(120), 2), kShare) ==
                 refused[i - 120];
  }
  REQUIRE(std::count(refused.begin(), refused.end(), true) ==
          Approx(kShare * 2120).margin(60));
  REQUIRE(same > 0.9 * 2000);
  REQUIRE(same_last > 0.9 * 2000);
}

// Guards against decisions from before a failure, and against refusing callers
// below their share while counts are missing.
TEST_CASE("failures") {
  data_centre site(2, 1.0 / 3);
  site.load.Add(kHeavyCaller, 1, 20);
  site.load.Add(kFirstCaller, kCallers, 1);
  site.load.Run(seconds(10));

  SECTION("a restarted instance has an empty table") {
    site.Restart(0);
    const auto first = Measure(&site, seconds(2));
    CAPTURE(first.others.RefusedShare(), first.heavy.RefusedShare());
    REQUIRE(first.all.RefusedShare() == Approx(1.0 / 3).margin(0.1));
    REQUIRE(first.others.RefusedShare() < first.heavy.RefusedShare());
    REQUIRE(Measure(&site, seconds(20)).others.RefusedShare() < 0.03);
  }
  SECTION("a pause") {
    const milliseconds pause = GENERATE(seconds(3), seconds(30), seconds(5000));
    site.load.Skip(pause);
    for (caller_shares& shares : site.instances) {
      shares.DiscardDecisions();
      REQUIRE(shares.above_share() == 0);
    }
    const auto first = Measure(&site, seconds(2));
    CAPTURE(pause.count(), first.others.RefusedShare());
    REQUIRE(first.all.RefusedShare() == Approx(1.0 / 3).margin(0.1));
    REQUIRE(Measure(&site, seconds(20)).others.RefusedShare() < 0.03);
  }
  SECTION("refusals that end and start again") {
    site.share = 0;
    REQUIRE(Measure(&site, seconds(10)).all.refused == 0);
    REQUIRE(site.instances[0].above_share() == 0);
    site.share = 1.0 / 3;
    REQUIRE(Measure(&site, seconds(20)).others.RefusedShare() < 0.03);
    REQUIRE(site.instances[0].above_share() > 0);
  }
}

TEST_CASE("more callers than the table holds") {
  constexpr std::size_t kTable = 64;
  data_centre site(1, 1.0 / 3, positions::kSameClock, kTable);
  site.load.Add(kHeavyCaller, 1, 200);
  site.load.Add(kFirstCaller, 10'000, 0.1);
  site.load.Run(seconds(10));
  const auto measured = Measure(&site, seconds(20));
  REQUIRE(site.instances[0].tracked() == kTable);

  SECTION("the caller with many requests is refused first") {
    CAPTURE(measured.others.RefusedShare());
    REQUIRE(measured.heavy.RefusedShare() > 0.9);
  }
  SECTION("the total refused share is the required one") {
    REQUIRE(measured.all.RefusedShare() == Approx(1.0 / 3).margin(0.03));
  }
  SECTION("an opening allocates nothing") {
    const instant now = site.load.now();
    const std::size_t before = allocations;
    for (std::uint32_t caller = 0; caller < 1000; ++caller) {
      site.instances[0].Refuses(now, Opening(caller), 1.0 / 3);
    }
    REQUIRE(allocations == before);
  }
}

// A new address for each opening replaces the accounts of all other callers.
TEST_CASE("addresses that are never used again") {
  caller_shares shares(
      [](instant now, ipv4_address caller) {
        return RefusalPosition(now.time_since_epoch(), kClass, caller);
      },
      64);
  int refused = 0;
  int openings = 0;
  for (instant now{seconds(100)}; now < instant{seconds(120)};
       now += milliseconds(1)) {
    const auto caller = kFirstCaller + static_cast<std::uint32_t>(openings++);
    refused += shares.Refuses(now, Opening(caller), 0.25);
    if (openings % 50 == 0) shares.Tick(now);
  }
  REQUIRE(refused == Approx(0.25 * openings).epsilon(0.05));
}

// Callers behind changing addresses: counts of a new one are low at first. The
// refused share must not drop each time, nor rise while the counts of the last
// one expire. Deviations within chance aren't corrected.
TEST_CASE("all load from one address that changes") {
  data_centre site(1, 0.6);
  load_counts all;
  for (std::uint32_t address = 0; address < 10; ++address) {
    caller_shares& shares = site.instances[0];
    for (int i = 0; i < 3000; ++i) {
      const instant now{seconds(100) + address * seconds(3) +
                        i * milliseconds(1)};
      if (i % 50 == 0) shares.Tick(now);
      flow_packet packet = Opening(kFirstCaller + address);
      packet.flow.caller.port = {static_cast<std::uint16_t>(1024 + i)};
      ++all.openings;
      all.refused += shares.Refuses(now, packet, site.share);
    }
  }
  REQUIRE(all.RefusedShare() == Approx(0.6).margin(0.05));
}

// An address can't be told from a single caller with as many requests. It gets
// the same bound as the others, and isn't shut out.
TEST_CASE("many callers behind one address share its bound") {
  data_centre site(1, 1.0 / 3);
  site.load.Add(kHeavyCaller, 1, 50);
  site.load.Add(kFirstCaller, 50, 1);
  site.load.Run(seconds(10));
  const auto measured = Measure(&site, seconds(60));
  CAPTURE(measured.heavy.UnservedShare());
  REQUIRE(measured.others.RefusedShare() < 0.03);
  REQUIRE(measured.heavy.UnservedShare() < 0.6);
}

TEST_CASE("the refused callers are reported, the most refused first") {
  data_centre site(1, 1.0 / 3);
  site.load.Add(kHeavyCaller, 1, 20);
  site.load.Add(kFirstCaller, kCallers, 1);
  site.load.Run(seconds(10));
  caller_shares& shares = site.instances[0];
  const auto refused = shares.TakeRefused(site.load.now(), 3);
  REQUIRE(refused.size() <= 3);
  REQUIRE(refused[0].caller.value == kHeavyCaller);
  REQUIRE(refused[0].refused > 100);
  REQUIRE(shares.TakeRefused(site.load.now(), 3).empty());
}

}  // namespace
}  // namespace lavendertack
