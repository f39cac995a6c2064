#include "Directory/directory.h"

#include <catch2/catch.hpp>

namespace lavendertack {
namespace {

change_ticket Parse(const std::string& json) {
  auto parsed = ParseTicket(json);
  REQUIRE(std::holds_alternative<change_ticket>(parsed));
  return std::get<change_ticket>(parsed);
}

TEST_CASE("a directory applies tickets") {
  directory state;
  const change_ticket first = Parse(R"({"number": 5,
      "classes": [{"name": "hold", "price": 9}],
      "services": [{"name": "catalogue", "classes": ["hold"],
                    "flow_idle_s": 60}]})");

  SECTION("an accepted ticket takes effect") {
    const auto result = state.Apply({1}, first);
    REQUIRE(std::holds_alternative<ticket_accepted>(result));
    REQUIRE(state.FindService({"catalogue"}) != nullptr);

    SECTION("a resend gets the original result") {
      const auto resend_result = state.Apply({2}, first);
      REQUIRE(std::get<ticket_accepted>(resend_result).index == log_index{1});
    }

    SECTION("a different ticket with the same number conflicts") {
      change_ticket other = first;
      other.classes[0].price = {1};
      const auto second_result = state.Apply({2}, other);
      REQUIRE(std::get<ticket_conflict>(second_result).index == log_index{1});
      REQUIRE(state.FindClass({"hold"})->price == class_price{9});
    }

    SECTION("a lower number is outdated") {
      change_ticket older = first;
      older.number = {4};
      const auto second_result = state.Apply({2}, older);
      REQUIRE(std::get<ticket_outdated>(second_result).newest ==
              ticket_number{5});
    }
  }

  SECTION("a service with an unknown class is refused") {
    const change_ticket unknown = Parse(R"({"number": 6,
        "services": [{"name": "guide", "classes": ["browse"],
                      "flow_idle_s": 60}]})");
    const auto result = state.Apply({1}, unknown);
    REQUIRE(std::get<ticket_invalid>(result).error.field ==
            "services.guide.classes");
    REQUIRE(state.FindService({"guide"}) == nullptr);
  }
}

TEST_CASE("parsing an incomplete ticket reports all errors") {
  auto parsed = ParseTicket(R"({"number": 0, "colour": 1,
      "services": [{"name": "catalogue"}]})");
  const auto& errors = std::get<std::vector<ticket_error>>(parsed);
  std::vector<std::string> fields;
  fields.reserve(errors.size());
  for (const ticket_error& error : errors) fields.push_back(error.field);
  CHECK(fields == std::vector<std::string>{"number", "services[0].flow_idle_s",
                                           "services[0].classes", "colour"});
}

}  // namespace
}  // namespace lavendertack
