#include <catch2/catch.hpp>

#include "UnitTests/Control/fleet_simulation.h"

namespace lavendertack {
namespace {

using testing::fleet_simulation;

const data_centre_name kDataCentre{"dc-1"};

set_evacuation Order(bool closed) { return {kDataCentre, closed}; }

// Three control instances, and a data centre that an operator has closed.
class closed_data_centre {
 public:
  explicit closed_data_centre(std::uint64_t seed = 1)
      : fleet({.seed = seed, .controls = 3, .entries = 1}) {
    fleet.Run(seconds(4));
    REQUIRE(fleet.PublishUntilDone(1, seconds(2)));
    SendUntilDone(1, true);
  }

  // An operator sends an order and waits for the confirmation.
  void SendUntilDone(std::size_t control, bool closed) {
    bool is_done = false;
    fleet.SubmitOrder(control, Order(closed), [&](const order_outcome& o) {
      is_done = std::holds_alternative<order_done>(o);
    });
    fleet.Run(milliseconds(500));
    REQUIRE(is_done);
  }
  // An operator sends an order to the first instance and leaves without an
  // answer.
  operator_call SendLateOrder(bool closed) {
    return fleet.SubmitOrder(
        0, Order(closed),
        [this](const order_outcome& outcome) { late_outcome = outcome; });
  }
  // Whether the data centre is closed according to all instances.
  bool IsClosed() {
    for (std::size_t i = 0; i < fleet.control_count(); ++i) {
      if (!fleet.control(i).published().closed().contains(kDataCentre)) {
        return false;
      }
    }
    return true;
  }

  fleet_simulation fleet;
  std::optional<order_outcome> late_outcome;
};

// Guards against an acknowledged evacuation that is undone: a control instance
// that woke from a suspension carried out an order to open the data centre that
// its operator had given up, and had replaced by others, long before.
TEST_CASE("an order that waited through a suspension") {
  closed_data_centre setup;
  const instant wakes = setup.fleet.Now() + seconds(6);
  setup.fleet.Pause(0, seconds(6));
  setup.fleet.Run(seconds(2));
  setup.SendUntilDone(1, false);
  setup.SendUntilDone(2, true);
  setup.fleet.Run(
      std::chrono::duration_cast<milliseconds>(wakes - setup.fleet.Now()));

  SECTION("isn't carried out when it is read") {
    setup.fleet.Run(milliseconds(GENERATE(0, 25, 100, 400, 900)));
    setup.SendLateOrder(false);
    setup.fleet.Run(seconds(5));
    REQUIRE(std::holds_alternative<order_outcome_unknown>(*setup.late_outcome));
    REQUIRE(setup.IsClosed());
  }
  SECTION("differs from one that arrives a second later") {
    setup.fleet.Run(milliseconds(1050));
    setup.SendUntilDone(0, false);
    setup.fleet.Run(seconds(1));
    REQUIRE_FALSE(setup.IsClosed());
  }
}

// The instance doesn't know yet that it is cut off, so it accepts the order and
// waits for a majority.
TEST_CASE("an order that waits for a majority") {
  closed_data_centre setup;
  setup.fleet.Partition({0}, false);
  const operator_call call = setup.SendLateOrder(false);

  SECTION("isn't carried out once its operator has given up") {
    setup.fleet.Run(milliseconds(1025));
    REQUIRE(std::holds_alternative<order_outcome_unknown>(*setup.late_outcome));
    setup.SendUntilDone(1, false);
    setup.SendUntilDone(2, true);
    setup.fleet.Heal();
    setup.fleet.Run(seconds(6));
    REQUIRE(setup.IsClosed());
  }
  SECTION("isn't carried out once its operator has left") {
    setup.fleet.Run(milliseconds(300));
    setup.fleet.AbandonCall(0, call);
    REQUIRE(std::holds_alternative<order_outcome_unknown>(*setup.late_outcome));
    setup.fleet.Heal();
    setup.fleet.Run(seconds(6));
    REQUIRE(setup.IsClosed());
  }
  SECTION("is carried out if the majority answers before") {
    setup.fleet.Run(milliseconds(300));
    setup.fleet.Heal();
    setup.fleet.Run(milliseconds(700));
    REQUIRE(std::holds_alternative<order_done>(*setup.late_outcome));
    REQUIRE_FALSE(setup.IsClosed());
  }
}

// The proposal of the first instance was accepted by a minority. A later order
// to close the data centre changes nothing, as it is closed; it was confirmed
// without an entry in the log, and then the earlier proposal was completed.
TEST_CASE("an order that only a minority has accepted") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    for (int delay_ms = 1; delay_ms <= 24; ++delay_ms) {
      closed_data_centre setup(seed);
      setup.SendLateOrder(false);
      setup.fleet.Run(milliseconds(delay_ms));
      setup.fleet.Partition({0}, false);
      setup.fleet.Run(milliseconds(1200));
      setup.SendUntilDone(1, true);
      setup.fleet.Heal();
      setup.fleet.Run(seconds(4));
      INFO("seed " << seed << ", partition after " << delay_ms << " ms");
      REQUIRE(setup.IsClosed());
    }
  }
}

}  // namespace
}  // namespace lavendertack
