#include "Control/restart_announcements.h"

#include <catch2/catch.hpp>
#include <map>

namespace lavendertack {
namespace {

instance_name Entry(std::size_t number) {
  return {"10.1." + std::to_string(number / 250) + "." +
          std::to_string(number % 250)};
}

// Guards against an outage that ends only when the seeds are back, although
// another control instance is there.
TEST_CASE("a control instance is announced to its earlier followers") {
  restart_announcements announcements;
  instant now{seconds(100)};
  announcements.Add(Entry(1));
  announcements.Add(Entry(2));
  REQUIRE(announcements.TakeDue(now).size() == 2);
  REQUIRE(announcements.TakeDue(now).empty());
  now += milliseconds(25);

  SECTION("again, as they may start later") {
    REQUIRE(announcements.TakeDue(now).size() == 2);
  }
  SECTION("until they send a request") {
    announcements.RecordRequest(Entry(1));
    REQUIRE(announcements.TakeDue(now) == std::vector{Entry(2)});
    announcements.RecordRequest(Entry(2));
    REQUIRE(announcements.TakeDue(now + milliseconds(25)).empty());
  }
  SECTION("for a limited time") {
    now += seconds(2);
    REQUIRE(announcements.TakeDue(now).empty());
  }
}

TEST_CASE("announcements to a large fleet are spread over time") {
  restart_announcements announcements;
  for (std::size_t i = 0; i < 2800; ++i) announcements.Add(Entry(i));
  std::map<instance_name, int> received;
  instant now{seconds(100)};
  const instant end = now + milliseconds(800);
  for (; now < end; now += milliseconds(25)) {
    const auto due = announcements.TakeDue(now);
    REQUIRE(due.size() <= 100);
    for (const instance_name& name : due) ++received[name];
  }
  REQUIRE(received.size() == 2800);
}

TEST_CASE("the number of announced followers is limited") {
  restart_announcements announcements;
  for (std::size_t i = 0; i < 10'000; ++i) announcements.Add(Entry(i));
  std::size_t sent = 0;
  const instant now{seconds(100)};
  for (int i = 0; i < 41; ++i) sent += announcements.TakeDue(now).size();
  REQUIRE(sent == restart_announcements::kMaxFollowers);
}

}  // namespace
}  // namespace lavendertack
