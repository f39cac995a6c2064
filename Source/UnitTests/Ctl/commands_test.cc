#include "Ctl/commands.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "Ctl/rollout_wait.h"

namespace lavendertack {
namespace {

using nlohmann::json;

struct received_request {
  std::string address;
  admin_call call;
};

// Two instances, "a" and "b", whose replies come from `answer`. Records the
// requests that they receive.
struct fake_instances {
  std::vector<received_request> requests;
  std::function<std::variant<http_reply, admin_unreachable>(
      const received_request&)>
      answer;
  std::ostringstream out;
  std::ostringstream err;
  command_options options;

  int Run(const std::vector<std::string>& words) {
    const command_context context{
        .client = admin_client({"a", "b"}, "secret",
                               [this](const auto& address, const auto& call) {
                                 requests.push_back({address, call});
                                 return answer(requests.back());
                               }),
        .options = options,
        .out = out,
        .err = err,
        .sleep = [](milliseconds) {}};
    return RunCommand(context, words);
  }
  std::size_t CountPosts() const {
    std::size_t posts = 0;
    for (const auto& [address, call] : requests) posts += call.method == "POST";
    return posts;
  }
};

http_reply Reply(unsigned status, const json& body) {
  return {status, body.dump()};
}

json StatusBody(std::uint64_t applied_at_b, bool b_alive) {
  return {{"newest_ticket", 4},
          {"instances",
           {{{"name", "a"},
             {"data_centre", "east"},
             {"alive", true},
             {"applied_entry", 9}},
            {{"name", "b"},
             {"data_centre", "west"},
             {"alive", b_alive},
             {"applied_entry", applied_at_b}}}}};
}

TEST_CASE("an operator submits a ticket") {
  fake_instances instances;
  const std::string file = (std::filesystem::temp_directory_path() /
                            ("ticket-" + std::to_string(getpid())))
                               .string();
  std::ofstream(file) << "the ticket's bytes";
  const std::vector<std::string> words{"ticket", "submit", file};

  SECTION(
      "when the first instance is down, the next one receives the same bytes") {
    instances.answer = [](const received_request& request)
        -> std::variant<http_reply, admin_unreachable> {
      if (request.address == "a") return admin_unreachable{"refused"};
      if (request.call.method == "GET") return Reply(200, StatusBody(9, true));
      return Reply(200, {{"result", "accepted"}, {"entry", 9}});
    };
    CHECK(instances.Run(words) == kExitSuccess);
    CHECK(instances.requests[0].call.body == "the ticket's bytes");
    CHECK(instances.requests[1].call.body == "the ticket's bytes");
    CHECK(instances.requests[1].call.token == "secret");
    CHECK(instances.out.str() ==
          "accepted as entry 9\nin force at 2 instances\n");
  }
  SECTION("a live instance doesn't apply the ticket in time: not in force") {
    instances.answer = [](const received_request& request) {
      if (request.call.method == "GET") return Reply(200, StatusBody(8, true));
      return Reply(200, {{"result", "accepted"}, {"entry", 9}});
    };
    CHECK(instances.Run(words) == kExitNotInForce);
    CHECK(instances.out.str().find("not yet at b") != std::string::npos);
  }
  SECTION("an instance that is down is reported, but not waited for") {
    instances.answer = [](const received_request& request) {
      if (request.call.method == "GET") return Reply(200, StatusBody(8, false));
      return Reply(200, {{"result", "accepted"}, {"entry", 9}});
    };
    CHECK(instances.Run(words) == kExitSuccess);
    CHECK(instances.out.str().find("no answer from b") != std::string::npos);
  }
  SECTION(
      "all instances reply undecided: each is tried twice, outcome unknown") {
    instances.answer = [](const received_request&) {
      return Reply(503, {{"result", "undecided"}});
    };
    CHECK(instances.Run(words) == kExitOutcomeUnknown);
    CHECK(instances.CountPosts() == 4);
  }
  SECTION("replies that aren't JSON count as unreachable") {
    instances.answer = [](const received_request&) {
      return http_reply{200, "<html>"};
    };
    CHECK(instances.Run(words) == kExitUnreachable);
  }
  SECTION("an invalid ticket is refused, and each invalid field is printed") {
    instances.answer = [](const received_request&) {
      return Reply(
          400, {{"result", "invalid"},
                {"errors", {{{"field", "number"}, {"reason", "is missing"}}}}});
    };
    CHECK(instances.Run(words) == kExitRefused);
    CHECK(instances.err.str() == "invalid\n  number is missing\n");
  }
  std::filesystem::remove(file);
}

TEST_CASE("fleet commands query instances, settings files and saved logs") {
  fake_instances instances;

  SECTION("fleet status shows the control instances of an instance") {
    instances.answer = [](const received_request& request) {
      CHECK(request.call.path == "/v1/status");
      return Reply(
          200, {{"instance", "entry-1"},
                {"controls", {{{"control", "10.0.0.1"}, {"heard", false}}}}});
    };
    CHECK(instances.Run({"fleet", "status"}) == kExitSuccess);
    CHECK(instances.out.str().find("10.0.0.1") != std::string::npos);
  }
  SECTION("fleet settings prints all errors of a settings file together") {
    const std::string file = (std::filesystem::temp_directory_path() /
                              ("fleet-" + std::to_string(getpid())))
                                 .string();
    std::ofstream(file) << R"({"serves":["frontend"],"ip":"here"})";
    instances.options.json = true;
    CHECK(instances.Run({"fleet", "settings", file}) == kExitRefused);
    const json output = json::parse(instances.out.str());
    CHECK(output.at("errors").size() > 2);
    std::filesystem::remove(file);
    CHECK(instances.Run({"fleet", "settings", file}) == kExitUsage);
    CHECK(instances.err.str().find("can't read") != std::string::npos);
  }
  SECTION("fleet explain prints the events of a caller in order of time") {
    const std::string file = (std::filesystem::temp_directory_path() /
                              ("log-" + std::to_string(getpid())))
                                 .string();
    std::ofstream(file)
        << R"({"time_ms":20,"instance":"b","event":"flow_reset","caller":"1.2.3.4:5"})"
        << "\nno log line\n{broken\n"
        << R"(  1.0 b {"time_ms":10,"instance":"a","event":"flow_opened","caller":"1.2.3.4:5","tag":77})"
        << "\n"
        << R"({"time_ms":15,"instance":"a","event":"flow_opened","caller":"1.2.3.4:55"})"
        << "\n";
    CHECK(instances.Run({"fleet", "explain", "1.2.3.4:5", file}) ==
          kExitSuccess);
    const std::string output = instances.out.str();
    CHECK(output.find("flow_opened") < output.find("flow_reset"));
    CHECK(output.find("1.2.3.4:55") == std::string::npos);
    std::filesystem::remove(file);
    CHECK(instances.Run({"fleet", "explain", "1.2.3.4:5", file}) == kExitUsage);
  }
}

TEST_CASE("an operator takes a data centre out of service") {
  fake_instances instances;
  instances.options.wait_timeout = milliseconds(0);
  // Numbers up to this one are used by tickets of another operator.
  std::uint64_t highest_used = 0;
  instances.answer = [&highest_used](const received_request& request) {
    if (request.call.method == "GET") return Reply(200, StatusBody(9, true));
    const auto number =
        json::parse(request.call.body).at("number").get<std::uint64_t>();
    if (number > highest_used) {
      return Reply(200, {{"result", "accepted"}, {"entry", 9}});
    }
    return Reply(409, {{"result", "conflict"}, {"accepted_number", number}});
  };

  SECTION("the ticket has the next number and the state of the data centre") {
    CHECK(instances.Run({"dc", "out", "west"}) == kExitSuccess);
    CHECK(json::parse(instances.requests[1].call.body) ==
          json::parse(R"({"number": 5,
                          "data_centres": [{"name": "west", "out": true}]})"));
  }
  SECTION(
      "without take_next_number, a used number is an error without a retry") {
    highest_used = 5;
    CHECK(instances.Run({"dc", "out", "west"}) == kExitRefused);
    CHECK(instances.CountPosts() == 1);
    CHECK(instances.err.str() == "conflict, accepted_number: 5\n");
  }
  SECTION("with take_next_number, the next number is tried") {
    highest_used = 6;
    instances.options.take_next_number = true;
    CHECK(instances.Run({"dc", "in", "west"}) == kExitSuccess);
    CHECK(instances.CountPosts() == 3);
  }
  SECTION("a data centre without instances is a usage error") {
    CHECK(instances.Run({"dc", "out", "wset"}) == kExitUsage);
    CHECK(instances.CountPosts() == 0);
  }
}

TEST_CASE("invalid commands and arguments are usage errors") {
  fake_instances instances;
  CHECK(instances.Run({"tickets"}) == kExitUsage);
  CHECK(instances.Run({"ticket", "submit"}) == kExitUsage);
  CHECK(instances.Run({"explain", "abc"}) == kExitUsage);
  CHECK(instances.requests.empty());
  for (const command& c : Commands()) {
    CHECK_FALSE(c.help.empty());
    CHECK(FormatHelp({}).find(c.name) != std::string::npos);
  }
}

}  // namespace
}  // namespace lavendertack
