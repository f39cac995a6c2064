#include "Control/sent_cursor.h"

#include <catch2/catch.hpp>

#include "Control/data_centre_closures.h"

namespace lavendertack {
namespace {

constexpr milliseconds kResend{700};
const instant kStart{seconds(100)};

TEST_CASE("changes that a follower hasn't acknowledged are sent again") {
  sent_cursor cursor;
  cursor.MarkSent(kStart, 5);
  REQUIRE(cursor.sent_to() == 5);

  SECTION("not before the resend time") {
    cursor.Acknowledge(kStart + milliseconds(699), 0, kResend);
    REQUIRE(cursor.sent_to() == 5);
  }
  SECTION("after the resend time") {
    cursor.Acknowledge(kStart + milliseconds(700), 2, kResend);
    REQUIRE(cursor.sent_to() == 2);
  }
  SECTION("also while further changes are sent") {
    for (int i = 1; i < 10; ++i) {
      cursor.MarkSent(kStart + milliseconds(100 * i), 5 + i);
    }
    cursor.Acknowledge(kStart + milliseconds(900), 3, kResend);
    REQUIRE(cursor.sent_to() == 3);
  }
  SECTION("an acknowledgement restarts the resend time of later changes") {
    cursor.MarkSent(kStart + milliseconds(600), 9);
    cursor.Acknowledge(kStart + milliseconds(650), 5, kResend);
    cursor.Acknowledge(kStart + milliseconds(1300), 5, kResend);
    REQUIRE(cursor.sent_to() == 9);
    cursor.Acknowledge(kStart + milliseconds(1350), 5, kResend);
    REQUIRE(cursor.sent_to() == 5);
  }
}

// Targets of a reopened data centre may be cold without having reported that
// yet, so they must not get new flows at once.
TEST_CASE("a reopened data centre stays closed for a delay") {
  data_centre_closures closures;
  REQUIRE(closures.Update(kStart, {{"east"}}, seconds(4)).empty());
  REQUIRE(closures.Closed().size() == 1);
  const instant reopened_at = kStart + seconds(20);
  REQUIRE(closures.Update(reopened_at, {}, seconds(4)).contains({"east"}));
  REQUIRE(closures.Closed().contains({"east"}));
  REQUIRE_FALSE(closures.Tick(reopened_at + milliseconds(3999)));
  REQUIRE(closures.Tick(reopened_at + seconds(4)));
  REQUIRE(closures.Closed().empty());
}

}  // namespace
}  // namespace lavendertack
