#include "Control/sent_cursor.h"

#include <catch2/catch.hpp>

#include "Control/held_data_centres.h"

namespace lavendertack {
namespace {

constexpr milliseconds kResend{700};
const instant kStart{seconds(100)};

TEST_CASE("a sender knows what hasn't reached a follower") {
  sent_cursor cursor;
  cursor.Sent(kStart, 5);
  REQUIRE(cursor.told() == 5);

  SECTION("what is on its way isn't sent twice") {
    cursor.Confirm(kStart + milliseconds(699), 0, kResend);
    REQUIRE(cursor.told() == 5);
  }
  SECTION("what is late was lost") {
    cursor.Confirm(kStart + milliseconds(700), 2, kResend);
    REQUIRE(cursor.told() == 2);
  }
  SECTION("also while more is sent all the time") {
    for (int i = 1; i < 10; ++i) {
      cursor.Sent(kStart + milliseconds(100 * i), 5 + i);
    }
    cursor.Confirm(kStart + milliseconds(900), 3, kResend);
    REQUIRE(cursor.told() == 3);
  }
  SECTION("what has arrived starts the wait for the rest anew") {
    cursor.Sent(kStart + milliseconds(600), 9);
    cursor.Confirm(kStart + milliseconds(650), 5, kResend);
    cursor.Confirm(kStart + milliseconds(1300), 5, kResend);
    REQUIRE(cursor.told() == 9);
    cursor.Confirm(kStart + milliseconds(1350), 5, kResend);
    REQUIRE(cursor.told() == 5);
  }
}

// Targets of a data centre that comes back may be cold and not have said so.
TEST_CASE("a data centre that is taken back is held for a while") {
  held_data_centres held;
  REQUIRE(held.Update(kStart, {{"east"}}, seconds(4)).empty());
  REQUIRE(held.Closed().size() == 1);
  const instant back = kStart + seconds(20);
  REQUIRE(held.Update(back, {}, seconds(4)).contains({"east"}));
  REQUIRE(held.Closed().contains({"east"}));
  REQUIRE_FALSE(held.Tick(back + milliseconds(3999)));
  REQUIRE(held.Tick(back + seconds(4)));
  REQUIRE(held.Closed().empty());
}

}  // namespace
}  // namespace lavendertack
