#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <iostream>

#include "UnitTests/Traffic/shard_simulation.h"

namespace lavendertack::testing {
namespace {

TEST_CASE("a long random run keeps every invariant") {
  std::map<std::string, std::uint64_t> totals;
  ForEachSeed([&](std::uint64_t seed) {
    shard_simulation simulation({.seed = seed});
    simulation.Run();
    for (const auto& [name, count] : simulation.counts()) totals[name] += count;
  });
  for (const auto& [name, count] : totals) {
    std::cerr << name << ": " << count << "\n";
  }
  REQUIRE(totals["answer: served, none"] >
          totals["answer: not run, no target"]);
}

TEST_CASE("random mixes of load and faults keep every invariant") {
  rc::prop("a short run", [] {
    shard_simulation simulation({.seed = *rc::gen::arbitrary<std::uint64_t>(),
                                 .events = 2000,
                                 .flows = *rc::gen::inRange(1, 300),
                                 .targets = *rc::gen::inRange(1, 10),
                                 .fault_rate = *rc::gen::inRange(0, 20) * 1.0});
    simulation.Run();
  });
}

TEST_CASE("number_set equals std::set") {
  rc::prop("while no ranges are merged", [] {
    const auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 30));
    number_set ranges;
    std::set<std::uint64_t> reference;
    for (std::uint64_t number : numbers) {
      ranges.Add({number});
      reference.insert(number);
      for (std::uint64_t i = 0; i < 32; ++i) {
        RC_ASSERT(ranges.Contains({i}) == reference.contains(i));
      }
    }
  });
}

TEST_CASE("request_priority_queue equals a stable sort by price") {
  rc::prop("for any order of arrival", [] {
    const auto prices = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 4));
    request_priority_queue queue;
    std::vector<std::pair<std::uint32_t, std::uint64_t>> reference;
    for (std::uint32_t price : prices) {
      if (queue.full()) break;
      const std::uint64_t arrival = reference.size();
      queue.Insert({{price}, {{arrival}, {1}}, instant()});
      reference.emplace_back(price, arrival);
    }
    std::stable_sort(reference.begin(), reference.end(),
                     [](auto a, auto b) { return a.first > b.first; });
    for (std::size_t i = 0; i < reference.size(); ++i) {
      RC_ASSERT(queue.entries()[i].key.flow.value == reference[i].second);
    }
  });
}

}  // namespace
}  // namespace lavendertack::testing
