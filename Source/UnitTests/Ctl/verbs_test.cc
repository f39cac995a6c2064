#include "Ctl/verbs.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "Ctl/force_wait.h"

namespace lavendertack {
namespace {

using nlohmann::json;

struct asked_call {
  std::string address;
  admin_call call;
};

// Instances that answer from a list; an empty list gives no answer.
struct fake_instances {
  std::vector<asked_call> asked;
  std::function<std::variant<http_reply, admin_unreachable>(const asked_call&)>
      answer;
  std::ostringstream out;
  std::ostringstream err;
  verb_options options;

  int Run(const std::vector<std::string>& words) {
    const verb_context context{
        .client = admin_client({"a", "b"}, "secret",
                               [this](const auto& address, const auto& call) {
                                 asked.push_back({address, call});
                                 return answer(asked.back());
                               }),
        .options = options,
        .out = out,
        .err = err,
        .sleep = [](milliseconds) {}};
    return RunVerb(context, words);
  }
  std::size_t Posts() const {
    std::size_t posts = 0;
    for (const auto& [address, call] : asked) posts += call.method == "POST";
    return posts;
  }
};

http_reply Reply(unsigned status, const json& body) {
  return {status, body.dump()};
}

json Status(std::uint64_t applied_at_b, bool b_alive) {
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

  SECTION("the first instance is away: the next one gets the same bytes") {
    instances.answer = [](const asked_call& asked)
        -> std::variant<http_reply, admin_unreachable> {
      if (asked.address == "a") return admin_unreachable{"refused"};
      if (asked.call.method == "GET") return Reply(200, Status(9, true));
      return Reply(200, {{"result", "accepted"}, {"entry", 9}});
    };
    CHECK(instances.Run(words) == kExitDone);
    CHECK(instances.asked[0].call.body == "the ticket's bytes");
    CHECK(instances.asked[1].call.body == "the ticket's bytes");
    CHECK(instances.asked[1].call.token == "secret");
    CHECK(instances.out.str() ==
          "accepted as entry 9\nin force at 2 instances\n");
  }
  SECTION("an instance stays behind: accepted, but not everywhere in time") {
    instances.answer = [](const asked_call& asked) {
      if (asked.call.method == "GET") return Reply(200, Status(8, true));
      return Reply(200, {{"result", "accepted"}, {"entry", 9}});
    };
    CHECK(instances.Run(words) == kExitNotInForce);
    CHECK(instances.out.str().find("not yet at b") != std::string::npos);
  }
  SECTION("an instance that is away is told, not waited for") {
    instances.answer = [](const asked_call& asked) {
      if (asked.call.method == "GET") return Reply(200, Status(8, false));
      return Reply(200, {{"result", "accepted"}, {"entry", 9}});
    };
    CHECK(instances.Run(words) == kExitDone);
    CHECK(instances.out.str().find("no answer from b") != std::string::npos);
  }
  SECTION("nobody can decide: every address is asked, the outcome is open") {
    instances.answer = [](const asked_call&) {
      return Reply(503, {{"result", "undecided"}});
    };
    CHECK(instances.Run(words) == kExitUndecided);
    CHECK(instances.Posts() == 4);
  }
  SECTION("nobody answers, or not in JSON") {
    instances.answer = [](const asked_call&) {
      return http_reply{200, "<html>"};
    };
    CHECK(instances.Run(words) == kExitUnreachable);
  }
  SECTION("an invalid ticket is refused with each field") {
    instances.answer = [](const asked_call&) {
      return Reply(
          400, {{"result", "invalid"},
                {"errors", {{{"field", "number"}, {"reason", "is missing"}}}}});
    };
    CHECK(instances.Run(words) == kExitRefused);
    CHECK(instances.err.str() == "invalid\n  number is missing\n");
  }
  std::filesystem::remove(file);
}

TEST_CASE("an engineer asks a fleet, and its saved logs") {
  fake_instances instances;

  SECTION("which control instances an instance hears") {
    instances.answer = [](const asked_call& asked) {
      CHECK(asked.call.path == "/v1/status");
      return Reply(
          200, {{"instance", "entry-1"},
                {"controls", {{{"control", "10.0.0.1"}, {"heard", false}}}}});
    };
    CHECK(instances.Run({"fleet", "status"}) == kExitDone);
    CHECK(instances.out.str().find("10.0.0.1") != std::string::npos);
  }
  SECTION("what is wrong in an instance's settings, all at once") {
    const std::string file = (std::filesystem::temp_directory_path() /
                              ("fleet-" + std::to_string(getpid())))
                                 .string();
    std::ofstream(file) << R"({"serves":["frontend"],"ip":"here"})";
    instances.options.json = true;
    CHECK(instances.Run({"fleet", "settings", file}) == kExitRefused);
    const json told = json::parse(instances.out.str());
    CHECK(told.at("errors").size() > 2);
    std::filesystem::remove(file);
    CHECK(instances.Run({"fleet", "settings", file}) == kExitUsage);
    CHECK(instances.err.str().find("can't read") != std::string::npos);
  }
  SECTION("what became of a caller's connection") {
    const std::string file = (std::filesystem::temp_directory_path() /
                              ("log-" + std::to_string(getpid())))
                                 .string();
    std::ofstream(file)
        << R"({"time_ms":20,"instance":"b","event":"flow_reset","caller":"1.2.3.4:5"})"
        << "\nno line of ours\n{broken\n"
        << R"(  1.0 b {"time_ms":10,"instance":"a","event":"flow_opened","caller":"1.2.3.4:5","tag":77})"
        << "\n"
        << R"({"time_ms":15,"instance":"a","event":"flow_opened","caller":"1.2.3.4:55"})"
        << "\n";
    CHECK(instances.Run({"fleet", "explain", "1.2.3.4:5", file}) == kExitDone);
    const std::string told = instances.out.str();
    CHECK(told.find("flow_opened") < told.find("flow_reset"));
    CHECK(told.find("1.2.3.4:55") == std::string::npos);
    std::filesystem::remove(file);
    CHECK(instances.Run({"fleet", "explain", "1.2.3.4:5", file}) == kExitUsage);
  }
}

TEST_CASE("an operator takes a data centre out") {
  fake_instances instances;
  instances.options.wait = milliseconds(0);
  std::uint64_t taken = 0;  // Numbers up to here are another operator's.
  instances.answer = [&taken](const asked_call& asked) {
    if (asked.call.method == "GET") return Reply(200, Status(9, true));
    const auto number =
        json::parse(asked.call.body).at("number").get<std::uint64_t>();
    if (number > taken) {
      return Reply(200, {{"result", "accepted"}, {"entry", 9}});
    }
    return Reply(409, {{"result", "conflict"}, {"accepted_number", number}});
  };

  SECTION("with the next number and the whole state of the data centre") {
    CHECK(instances.Run({"dc", "out", "west"}) == kExitDone);
    CHECK(json::parse(instances.asked[1].call.body) ==
          json::parse(R"({"number": 5,
                          "data_centres": [{"name": "west", "out": true}]})"));
  }
  SECTION("another ticket took the number: it is told, nothing is retried") {
    taken = 5;
    CHECK(instances.Run({"dc", "out", "west"}) == kExitRefused);
    CHECK(instances.Posts() == 1);
    CHECK(instances.err.str() == "conflict, accepted_number: 5\n");
  }
  SECTION("and the next number is taken when asked") {
    taken = 6;
    instances.options.take_next_number = true;
    CHECK(instances.Run({"dc", "in", "west"}) == kExitDone);
    CHECK(instances.Posts() == 3);
  }
  SECTION("a name without instances is a typing error") {
    CHECK(instances.Run({"dc", "out", "wset"}) == kExitUsage);
    CHECK(instances.Posts() == 0);
  }
}

TEST_CASE("wrong words end with usage") {
  fake_instances instances;
  CHECK(instances.Run({"tickets"}) == kExitUsage);
  CHECK(instances.Run({"ticket", "submit"}) == kExitUsage);
  CHECK(instances.Run({"explain", "abc"}) == kExitUsage);
  CHECK(instances.asked.empty());
  for (const verb& v : Verbs()) {
    CHECK_FALSE(v.help.empty());
    CHECK(HelpOn({}).find(v.words) != std::string::npos);
  }
}

}  // namespace
}  // namespace lavendertack
