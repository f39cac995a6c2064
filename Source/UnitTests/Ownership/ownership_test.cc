#include "Ownership/ownership.h"

#include <catch2/catch.hpp>

#include "Ownership/roster_proposer.h"

namespace lavendertack {
namespace {

const data_centre_name& DataCentre() {
  static const data_centre_name name{"north"};
  return name;
}
const std::set<instance_name>& Replicas() {
  static const std::set<instance_name> replicas{{"r1"}, {"r2"}, {"r3"}};
  return replicas;
}

instant TimeAt(int ms) { return instant(seconds(100) + milliseconds(ms)); }

// One instance whose requests and claims are answered by the test.
struct owner_fixture {
  explicit owner_fixture(const std::string& name)
      : self{name},
        owner({.self = self,
               .data_centre = DataCentre(),
               .incarnation = 7,
               .replicas = Replicas()}) {}

  std::vector<ownership_effect> Reduce(int ms, const ownership_event& event) {
    return owner.Reduce(TimeAt(ms),
                        {.rosters = registry,
                         .services = {service},
                         .current = true,
                         .drained = [this](const auto&) { return drained; }},
                        event);
  }
  // Ticks every 50 ms from `from` to `to` (ms); instances in `responders`
  // answer immediately.
  void RunTicks(int from, int to, const std::set<instance_name>& responders) {
    for (int ms = from; ms <= to; ms += 50) {
      for (const auto& effect : Reduce(ms, ownership_tick{})) {
        Respond(ms, effect, responders);
      }
    }
  }
  void Respond(int ms, const ownership_effect& effect,
               const std::set<instance_name>& responders) {
    const auto* sent = std::get_if<send_ownership_message>(&effect);
    if (sent == nullptr || !responders.contains(sent->to)) return;
    wire::ownership_message reply;
    reply.set_data_centre(DataCentre().value);
    reply.set_roster_index(registry.Find(DataCentre()).index.value);
    if (sent->message.has_request()) {
      reply.mutable_grant()->set_sequence(sent->message.request().sequence());
    } else if (sent->message.has_claim()) {
      const auto& claim = sent->message.claim();
      reply.mutable_answer()->set_round(claim.round());
      *reply.mutable_answer()->mutable_asked() = claim.services();
      if (still_holding.contains(sent->to)) {
        *reply.mutable_answer()->mutable_held() = claim.services();
      }
    }
    for (const auto& next : Reduce(ms, ownership_received{sent->to, reply})) {
      Respond(ms, next, responders);
    }
  }

  instance_name self;
  service_name service{"queue"};
  roster_registry registry;
  ownership owner;
  bool drained = false;
  // Instances that answer claims as holding all claimed services.
  std::set<instance_name> still_holding;
};

TEST_CASE("an owner acts only while its lease is valid") {
  owner_fixture a("a");
  a.registry.Apply({1}, {DataCentre(), {{"a"}}, {}});
  a.RunTicks(0, 200, {});
  // No control replica has answered yet.
  REQUIRE_FALSE(a.owner.IsActiveOwner(TimeAt(200), a.service));
  a.RunTicks(250, 1000, Replicas());
  REQUIRE(a.owner.IsActiveOwner(TimeAt(1000), a.service));

  SECTION(
      "the only instance of a data centre renews its lease without others") {
    a.RunTicks(1050, 60000, {});
    REQUIRE(a.owner.IsActiveOwner(TimeAt(60000), a.service));

    SECTION("the lease has expired after the process was suspended") {
      REQUIRE_FALSE(a.owner.IsActiveOwner(TimeAt(63000), a.service));
    }
  }

  SECTION("with a peer, grants of the peer or of the replicas are required") {
    a.registry.Apply({2}, {DataCentre(), {{"a"}, {"b"}}, {1}});
    service_name owned = a.service;
    for (int i = 0; a.registry.OwnerOf(owned, DataCentre()) != a.self; ++i) {
      owned.value = "queue-" + std::to_string(i);
    }
    a.service = owned;
    a.RunTicks(1050, 3000, {{"b"}, {"r1"}, {"r2"}});
    REQUIRE(a.owner.IsActiveOwner(TimeAt(3000), owned));

    SECTION("isolated from the replicas, it renews the lease from the peer") {
      a.RunTicks(3050, 20000, {{"b"}});
      REQUIRE(a.owner.IsActiveOwner(TimeAt(20000), owned));
    }
    SECTION("isolated from the peer, it renews the lease from the replicas") {
      a.RunTicks(3050, 20000, {{"r1"}, {"r2"}});
      REQUIRE(a.owner.IsActiveOwner(TimeAt(20000), owned));
    }
    SECTION("isolated from both majorities, it stops within the lease length") {
      a.RunTicks(3050, 5500, {{"r1"}});
      REQUIRE_FALSE(a.owner.IsActiveOwner(TimeAt(5500), owned));
    }
    SECTION("a late grant is valid only from the time of its request") {
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
      REQUIRE_FALSE(a.owner.IsActiveOwner(TimeAt(9000), owned));
    }
  }
}

TEST_CASE("an instance grants leases only for the roster that it has applied") {
  owner_fixture a("a");
  a.registry.Apply({1}, {DataCentre(), {{"a"}, {"b"}}, {}});
  wire::ownership_message request;
  request.set_data_centre(DataCentre().value);
  request.set_roster_index(1);
  request.mutable_request()->set_sequence(3);
  const auto count_grants = [&] {
    const auto effects = a.Reduce(100, ownership_received{{"b"}, request});
    return std::count_if(effects.begin(), effects.end(), [](const auto& e) {
      const auto* sent = std::get_if<send_ownership_message>(&e);
      return sent != nullptr && sent->message.has_grant();
    });
  };
  REQUIRE(count_grants() == 1);

  SECTION("a removed owner gets no more grants") {
    a.registry.Apply({2}, {DataCentre(), {{"a"}}, {1}});
    REQUIRE(count_grants() == 0);
    request.set_roster_index(2);
    REQUIRE(count_grants() == 0);
  }
  SECTION("a retained owner gets grants for the new roster only") {
    a.registry.Apply({2}, {DataCentre(), {{"a"}, {"b"}, {"c"}}, {1}});
    REQUIRE(count_grants() == 0);
    request.set_roster_index(2);
    REQUIRE(count_grants() == 1);
  }
}

TEST_CASE("taking over a service") {
  owner_fixture a("a");
  a.registry.Apply({1}, {DataCentre(), {{"a"}, {"b"}}, {}});
  for (int i = 0;
       a.registry.OwnerOf(a.service, DataCentre()) != instance_name{"b"}; ++i) {
    a.service.value = "queue-" + std::to_string(i);
  }
  a.RunTicks(0, 1000, {{"b"}, {"r1"}, {"r2"}});
  REQUIRE_FALSE(a.owner.IsActiveOwner(TimeAt(1000), a.service));
  a.registry.Apply({2}, {DataCentre(), {{"a"}}, {1}});

  SECTION("from an unreachable removed owner: after its lease has expired") {
    a.RunTicks(1050, 3700, {{"r1"}, {"r2"}});
    REQUIRE_FALSE(a.owner.IsActiveOwner(TimeAt(3700), a.service));
    a.RunTicks(3750, 4100, {{"r1"}, {"r2"}});
    REQUIRE(a.owner.IsActiveOwner(TimeAt(4100), a.service));
  }
  SECTION("without a majority of replicas that applied the roster: never") {
    a.RunTicks(1050, 20000, {{"r1"}});
    REQUIRE_FALSE(a.owner.IsActiveOwner(TimeAt(20000), a.service));
  }
  SECTION("from an owner that has released it: immediately") {
    a.RunTicks(1050, 1100, {{"b"}, {"r1"}, {"r2"}});
    REQUIRE(a.owner.IsActiveOwner(TimeAt(1100), a.service));

    SECTION("it is handed back after the running requests have finished") {
      a.registry.Apply({3}, {DataCentre(), {{"a"}, {"b"}}, {2}});
      a.RunTicks(1150, 2000, {{"b"}, {"r1"}, {"r2"}});
      REQUIRE_FALSE(a.owner.IsActiveOwner(TimeAt(2000), a.service));
      REQUIRE(a.owner.owns_any_service());
      a.drained = true;
      a.RunTicks(2050, 2100, {});
      REQUIRE_FALSE(a.owner.owns_any_service());
    }
  }
  SECTION("from an owner that drains: after it has released it") {
    a.still_holding = {{"b"}};
    a.RunTicks(1050, 4500, {{"b"}, {"r1"}, {"r2"}});
    REQUIRE_FALSE(a.owner.IsActiveOwner(TimeAt(4500), a.service));
    a.still_holding.clear();
    a.RunTicks(4550, 4900, {{"b"}, {"r1"}, {"r2"}});
    REQUIRE(a.owner.IsActiveOwner(TimeAt(4900), a.service));
  }
}

TEST_CASE("a roster change is accepted only if based on the current roster") {
  roster_registry registry;
  REQUIRE(registry.Apply({1}, {DataCentre(), {{"a"}, {"b"}}, {}}));
  REQUIRE_FALSE(registry.Apply({2}, {DataCentre(), {{"b"}}, {}}));
  REQUIRE(registry.Find(DataCentre()).index == log_index{1});

  SECTION("and only if it retains enough members") {
    REQUIRE_FALSE(registry.Apply({2}, {DataCentre(), {{"c"}}, {1}}));
    REQUIRE(registry.Apply({2}, {DataCentre(), {{"b"}, {"c"}}, {1}}));
  }
}

TEST_CASE("a later roster or a later incarnation has a higher epoch") {
  REQUIRE(MakeOwnerEpoch({2}, 1) >
          MakeOwnerEpoch({1}, (std::uint64_t{1} << 38) - 1));
  REQUIRE(MakeOwnerEpoch({2}, 6) > MakeOwnerEpoch({2}, 5));
}

TEST_CASE("a replica proposes rosters") {
  roster_registry registry;
  roster_proposer proposer(
      {.self = {"r1"},
       .incarnation = 1,
       .replicas = {{"r1"}},
       .instances = {{DataCentre(), {{"a"}, {"b"}, {"c"}}}},
       .seed = 1});
  std::map<instance_name, instance_status> statuses{
      {{"a"}, instance_status::kReady},
      {{"b"}, instance_status::kReady},
      {{"c"}, instance_status::kUndetermined}};
  const auto last_proposal = [&](int from, int to) {
    std::optional<roster_change> last;
    for (int ms = from; ms <= to; ms += 50) {
      for (const auto& effect : proposer.Tick(
               TimeAt(ms),
               {registry, [&](const auto& n) { return statuses.at(n); }})) {
        if (const auto* p = std::get_if<propose_roster>(&effect)) {
          last = p->change;
        }
      }
    }
    return last;
  };
  const auto first = last_proposal(0, 1500);
  REQUIRE(first);
  REQUIRE(first->instances.size() == 2);
  REQUIRE(registry.Apply({1}, *first));

  SECTION("removes a silent instance, but no more than allowed at a time") {
    statuses[{"a"}] = instance_status::kSilent;
    const auto next = last_proposal(1500, 2500);
    REQUIRE(next);
    REQUIRE(next->instances == std::vector<instance_name>{{"b"}});
  }
  SECTION("proposes nothing for a data centre without any reachable instance") {
    statuses[{"a"}] = instance_status::kSilent;
    statuses[{"b"}] = instance_status::kSilent;
    REQUIRE_FALSE(last_proposal(1500, 5000));
  }
  SECTION(
      "proposes nothing while leases of the preceding roster may be renewed") {
    REQUIRE(registry.Apply({2}, {DataCentre(), {{"a"}, {"b"}, {"c"}}, {1}}));
    statuses[{"a"}] = instance_status::kSilent;
    REQUIRE_FALSE(last_proposal(1500, 5000));
  }
}

}  // namespace
}  // namespace lavendertack
