#include "Ownership/ownership.h"

#include <catch2/catch.hpp>

#include "Ownership/roster_proposer.h"

namespace lavendertack {
namespace {

const data_centre_name& Place() {
  static const data_centre_name all{"north"};
  return all;
}
const std::set<instance_name>& Replicas() {
  static const std::set<instance_name> all{{"r1"}, {"r2"}, {"r3"}};
  return all;
}

instant At(int ms) { return instant(seconds(100) + milliseconds(ms)); }

// One owner whose questions the test answers by hand.
struct fixture {
  explicit fixture(const std::string& name)
      : self{name},
        owner({.self = self,
               .data_centre = Place(),
               .incarnation = 7,
               .replicas = Replicas()}) {}

  std::vector<ownership_effect> Reduce(int ms, const ownership_event& event) {
    return owner.Reduce(At(ms),
                        {.rosters = book,
                         .services = {service},
                         .current = true,
                         .drained = [this](const auto&) { return drained; }},
                        event);
  }
  // Ticks up to `to`; everyone in `answering` answers at once.
  void Live(int from, int to, const std::set<instance_name>& answering) {
    for (int ms = from; ms <= to; ms += 50) {
      for (const auto& effect : Reduce(ms, ownership_tick{})) {
        Respond(ms, effect, answering);
      }
    }
  }
  void Respond(int ms, const ownership_effect& effect,
               const std::set<instance_name>& answering) {
    const auto* sent = std::get_if<send_ownership_message>(&effect);
    if (sent == nullptr || !answering.contains(sent->to)) return;
    wire::ownership_message reply;
    reply.set_data_centre(Place().value);
    reply.set_roster_index(book.Find(Place()).index.value);
    if (sent->message.has_request()) {
      reply.mutable_grant()->set_sequence(sent->message.request().sequence());
    } else if (sent->message.has_claim()) {
      const auto& claim = sent->message.claim();
      reply.mutable_answer()->set_round(claim.round());
      *reply.mutable_answer()->mutable_asked() = claim.services();
      if (holding.contains(sent->to)) {
        *reply.mutable_answer()->mutable_held() = claim.services();
      }
    }
    for (const auto& next : Reduce(ms, ownership_received{sent->to, reply})) {
      Respond(ms, next, answering);
    }
  }

  instance_name self;
  service_name service{"queue"};
  roster_registry book;
  ownership owner;
  bool drained = false;
  std::set<instance_name> holding;
};

TEST_CASE("an owner acts only while its lease holds") {
  fixture a("a");
  a.book.Apply({1}, {Place(), {{"a"}}, {}});
  a.Live(0, 200, {});
  REQUIRE_FALSE(
      a.owner.IsActiveOwner(At(200), a.service));  // No replica answered.
  a.Live(250, 1000, Replicas());
  REQUIRE(a.owner.IsActiveOwner(At(1000), a.service));

  SECTION("alone in its data centre it renews the lease by itself") {
    a.Live(1050, 60000, {});
    REQUIRE(a.owner.IsActiveOwner(At(60000), a.service));

    SECTION("a process that was frozen finds its lease expired") {
      REQUIRE_FALSE(a.owner.IsActiveOwner(At(63000), a.service));
    }
  }

  SECTION("with a peer it needs the peer or the replicas") {
    a.book.Apply({2}, {Place(), {{"a"}, {"b"}}, {1}});
    service_name mine = a.service;
    for (int i = 0; a.book.OwnerOf(mine, Place()) != a.self; ++i) {
      mine.value = "queue-" + std::to_string(i);
    }
    a.service = mine;
    a.Live(1050, 3000, {{"b"}, {"r1"}, {"r2"}});
    REQUIRE(a.owner.IsActiveOwner(At(3000), mine));

    SECTION("cut off from the replicas it goes on") {
      a.Live(3050, 20000, {{"b"}});
      REQUIRE(a.owner.IsActiveOwner(At(20000), mine));
    }
    SECTION("cut off from the peer it goes on") {
      a.Live(3050, 20000, {{"r1"}, {"r2"}});
      REQUIRE(a.owner.IsActiveOwner(At(20000), mine));
    }
    SECTION("cut off from everybody it stops within the lease length") {
      a.Live(3050, 5500, {{"r1"}});
      REQUIRE_FALSE(a.owner.IsActiveOwner(At(5500), mine));
    }
    SECTION("a late grant counts from the sending of its request") {
      wire::ownership_message request;
      for (int ms = 3050; !request.has_request(); ms += 50) {
        for (const auto& effect : a.Reduce(ms, ownership_tick{})) {
          const auto* sent = std::get_if<send_ownership_message>(&effect);
          if (sent != nullptr) request = sent->message;
        }
      }
      wire::ownership_message grant = request;
      grant.mutable_grant()->set_sequence(request.request().sequence());
      a.Reduce(9000, ownership_received{{"b"}, grant});
      REQUIRE_FALSE(a.owner.IsActiveOwner(At(9000), mine));
    }
  }
}

TEST_CASE("a grant is for the roster that the granter has applied") {
  fixture a("a");
  a.book.Apply({1}, {Place(), {{"a"}, {"b"}}, {}});
  wire::ownership_message request;
  request.set_data_centre(Place().value);
  request.set_roster_index(1);
  request.mutable_request()->set_sequence(3);
  const auto grants = [&] {
    const auto effects = a.Reduce(100, ownership_received{{"b"}, request});
    return std::count_if(effects.begin(), effects.end(), [](const auto& e) {
      const auto* sent = std::get_if<send_ownership_message>(&e);
      return sent != nullptr && sent->message.has_grant();
    });
  };
  REQUIRE(grants() == 1);

  SECTION("after the entry that removes the owner it grants no more") {
    a.book.Apply({2}, {Place(), {{"a"}}, {1}});
    REQUIRE(grants() == 0);
    request.set_roster_index(2);
    REQUIRE(grants() == 0);
  }
  SECTION("after an entry that keeps the owner it grants for that one only") {
    a.book.Apply({2}, {Place(), {{"a"}, {"b"}, {"c"}}, {1}});
    REQUIRE(grants() == 0);
    request.set_roster_index(2);
    REQUIRE(grants() == 1);
  }
}

TEST_CASE("taking over") {
  fixture a("a");
  a.book.Apply({1}, {Place(), {{"a"}, {"b"}}, {}});
  for (int i = 0; a.book.OwnerOf(a.service, Place()) != instance_name{"b"};
       ++i) {
    a.service.value = "queue-" + std::to_string(i);
  }
  a.Live(0, 1000, {{"b"}, {"r1"}, {"r2"}});
  REQUIRE_FALSE(a.owner.IsActiveOwner(At(1000), a.service));
  a.book.Apply({2}, {Place(), {{"a"}}, {1}});

  SECTION("from a removed owner that is silent, it waits for its lease") {
    a.Live(1050, 3700, {{"r1"}, {"r2"}});
    REQUIRE_FALSE(a.owner.IsActiveOwner(At(3700), a.service));
    a.Live(3750, 4100, {{"r1"}, {"r2"}});
    REQUIRE(a.owner.IsActiveOwner(At(4100), a.service));
  }
  SECTION("without a majority of replicas that know the entry, never") {
    a.Live(1050, 20000, {{"r1"}});
    REQUIRE_FALSE(a.owner.IsActiveOwner(At(20000), a.service));
  }
  SECTION("from one that has released, at once") {
    a.Live(1050, 1100, {{"b"}, {"r1"}, {"r2"}});
    REQUIRE(a.owner.IsActiveOwner(At(1100), a.service));

    SECTION("and hands it back after what runs has ended") {
      a.book.Apply({3}, {Place(), {{"a"}, {"b"}}, {2}});
      a.Live(1150, 2000, {{"b"}, {"r1"}, {"r2"}});
      REQUIRE_FALSE(a.owner.IsActiveOwner(At(2000), a.service));
      REQUIRE(a.owner.owns_any_service());
      a.drained = true;
      a.Live(2050, 2100, {});
      REQUIRE_FALSE(a.owner.owns_any_service());
    }
  }
  SECTION("from one that still drains, after it released") {
    a.holding = {{"b"}};
    a.Live(1050, 4500, {{"b"}, {"r1"}, {"r2"}});
    REQUIRE_FALSE(a.owner.IsActiveOwner(At(4500), a.service));
    a.holding.clear();
    a.Live(4550, 4900, {{"b"}, {"r1"}, {"r2"}});
    REQUIRE(a.owner.IsActiveOwner(At(4900), a.service));
  }
}

TEST_CASE("a roster change counts only on the roster it is based on") {
  roster_registry book;
  REQUIRE(book.Apply({1}, {Place(), {{"a"}, {"b"}}, {}}));
  REQUIRE_FALSE(book.Apply({2}, {Place(), {{"b"}}, {}}));
  REQUIRE(book.Find(Place()).index == log_index{1});

  SECTION("and only when enough of that roster stay") {
    REQUIRE_FALSE(book.Apply({2}, {Place(), {{"c"}}, {1}}));
    REQUIRE(book.Apply({2}, {Place(), {{"b"}, {"c"}}, {1}}));
  }
}

TEST_CASE("a later roster or a later life has a higher epoch") {
  REQUIRE(EpochOf({2}, 1) > EpochOf({1}, (std::uint64_t{1} << 38) - 1));
  REQUIRE(EpochOf({2}, 6) > EpochOf({2}, 5));
}

TEST_CASE("a replica proposes rosters") {
  roster_registry book;
  roster_proposer keeper({.self = {"r1"},
                          .incarnation = 1,
                          .replicas = {{"r1"}},
                          .instances = {{Place(), {{"a"}, {"b"}, {"c"}}}},
                          .seed = 1});
  std::map<instance_name, instance_status> status_of{
      {{"a"}, instance_status::kReady},
      {{"b"}, instance_status::kReady},
      {{"c"}, instance_status::kUndetermined}};
  const auto proposed = [&](int from, int to) {
    std::optional<roster_change> last;
    for (int ms = from; ms <= to; ms += 50) {
      for (const auto& effect : keeper.Tick(At(ms), {book, [&](const auto& n) {
                                                       return status_of.at(n);
                                                     }})) {
        if (const auto* p = std::get_if<propose_roster>(&effect)) {
          last = p->change;
        }
      }
    }
    return last;
  };
  const auto first = proposed(0, 1500);
  REQUIRE(first);
  REQUIRE(first->instances.size() == 2);
  REQUIRE(book.Apply({1}, *first));

  SECTION("without a silent one, but never without too many at a time") {
    status_of[{"a"}] = instance_status::kSilent;
    const auto next = proposed(1500, 2500);
    REQUIRE(next);
    REQUIRE(next->instances == std::vector<instance_name>{{"b"}});
  }
  SECTION("not for a data centre that is silent as a whole") {
    status_of[{"a"}] = instance_status::kSilent;
    status_of[{"b"}] = instance_status::kSilent;
    REQUIRE_FALSE(proposed(1500, 5000));
  }
  SECTION("not on a roster whose predecessor may still be renewed") {
    REQUIRE(book.Apply({2}, {Place(), {{"a"}, {"b"}, {"c"}}, {1}}));
    status_of[{"a"}] = instance_status::kSilent;
    REQUIRE_FALSE(proposed(1500, 5000));
  }
}

}  // namespace
}  // namespace lavendertack
