#include "platform/documents.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "UnitTests/Support/random_run.h"

namespace lavendertack::platform {
namespace {

using nlohmann::json;

json ValidManifest() {
  return json::parse(R"({"version":7,"routes":[
    {"name":"r-1","host":"198.18.0.1","path_prefix":"/8080/","type":"unsafe",
     "timeout_ms":1000,"target_latency_ms":150,"priority":1,"service":"desk",
     "max_attempts":2},
    {"name":"r-2","host":"198.18.0.1","path_prefix":"/8443/","type":"safe",
     "timeout_ms":800,"target_latency_ms":150,"priority":2,
     "traffic_split":[{"service":"desk","weight":90},
                      {"service":"shelf","weight":10}],"max_attempts":2}],
    "services":[{"name":"desk","health_path":"/health","max_connections":2000,
                 "cold_start_s":2.5,"cold_per_s":0.0},
                {"name":"shelf","health_path":"/health"}],
    "limits":{"idle_timeout_ms":15000}})");
}

// Paths of the errors of a manifest; empty if it is valid.
std::vector<std::string> ErrorPaths(const json& document) {
  auto parsed = ParseManifest(document.dump());
  std::vector<std::string> paths;
  if (const auto* errors = std::get_if<document_errors>(&parsed)) {
    for (const json_error& error : *errors) paths.push_back(error.path);
  }
  return paths;
}

TEST_CASE("a valid manifest is parsed") {
  const auto parsed = ParseManifest(ValidManifest().dump());
  const auto& result = std::get<manifest>(parsed);
  REQUIRE(result.version.value == 7);
  REQUIRE(result.routes.size() == 2);
  const route& split = result.routes.at(*ParseIpv4Endpoint("198.18.0.1:8443"));
  REQUIRE(split.shares.size() == 2);
  REQUIRE(split.shares[0].weight == 90);
  REQUIRE(split.priority == 2);
  REQUIRE(LongestColdStart(result) == milliseconds(2500));
}

TEST_CASE("an invalid manifest is refused with the paths of its errors") {
  json invalid = ValidManifest();
  using paths = std::vector<std::string>;

  SECTION("truncated text") {
    const std::string text = invalid.dump();
    for (std::size_t length = 0; length < text.size(); length += 7) {
      REQUIRE(std::holds_alternative<document_errors>(
          ParseManifest(text.substr(0, length))));
    }
  }
  SECTION("a route to an unknown service") {
    invalid["routes"][0]["service"] = "nobody";
    REQUIRE(ErrorPaths(invalid) == paths{"routes[0].service"});
  }
  SECTION("two routes with the same address and port") {
    invalid["routes"][1]["path_prefix"] = "/8080/";
    REQUIRE(ErrorPaths(invalid) == paths{"routes[1]"});
  }
  SECTION("a timeout of 0") {
    invalid["routes"][0]["timeout_ms"] = 0;
    REQUIRE(ErrorPaths(invalid) == paths{"routes[0].timeout_ms"});
  }
  SECTION("all weights of a route are 0") {
    invalid["routes"][1]["traffic_split"][0]["weight"] = 0;
    invalid["routes"][1]["traffic_split"][1]["weight"] = 0;
    REQUIRE(ErrorPaths(invalid) == paths{"routes[1].traffic_split"});
  }
  SECTION("an invalid port") {
    for (const char* port : {"8080", "/0/", "/70000/", "//", "/x/", "/80/1/"}) {
      invalid["routes"][0]["path_prefix"] = port;
      REQUIRE(ErrorPaths(invalid) == paths{"routes[0].path_prefix"});
    }
  }
  SECTION("no version") {
    invalid.erase("version");
    REQUIRE(ErrorPaths(invalid) == paths{"version"});
  }
  SECTION("several errors are reported at once") {
    invalid["routes"][0]["timeout_ms"] = "soon";
    invalid["routes"][1]["host"] = "example.org";
    REQUIRE(ErrorPaths(invalid).size() == 2);
  }
}

json ValidReport() {
  return json::parse(R"({"service":"desk","address":"10.128.0.9:8080",
    "zone":"east","version":"v1","concurrency":2,"state":"ready",
    "cold_left_ms":150,"sequence":4,"born":1786632502144})");
}

TEST_CASE("a target's report is parsed") {
  const auto parsed = ParseReport({"i-7f3a91c2"}, ValidReport().dump());
  const auto& report = std::get<target_report>(parsed);
  REQUIRE(report.version == report_version{1786632502144, 4});
  REQUIRE(ToString(report.address) == "10.128.0.9:8080");
  REQUIRE(report.phase == target_phase::kReady);
  REQUIRE(report.cold_left == milliseconds(150));

  SECTION("unknown keys are ignored") {
    json extended = ValidReport();
    extended["colour"] = "blue";
    REQUIRE(std::holds_alternative<target_report>(
        ParseReport({"i-1"}, extended.dump())));
  }
  SECTION("a missing field or one of the wrong type is refused") {
    const json valid = ValidReport();
    for (const auto& [key, value] : valid.items()) {
      json incomplete = valid;
      incomplete.erase(key);
      json changed = ValidReport();
      changed[key] = json::array();
      INFO(key);
      REQUIRE(std::holds_alternative<document_errors>(
          ParseReport({"i-1"}, incomplete.dump())));
      REQUIRE(std::holds_alternative<document_errors>(
          ParseReport({"i-1"}, changed.dump())));
    }
  }
  SECTION("an unknown state is refused") {
    json changed = ValidReport();
    changed["state"] = "resting";
    REQUIRE(std::holds_alternative<document_errors>(
        ParseReport({"i-1"}, changed.dump())));
  }
  SECTION("a start time with a fraction is refused") {
    json changed = ValidReport();
    changed["born"] = 1786632502144.5;
    REQUIRE(std::holds_alternative<document_errors>(
        ParseReport({"i-1"}, changed.dump())));
  }
  // Guards against processes that end, or no longer follow the targets, because
  // of one odd entry of another writer.
  SECTION("an odd report names no target") {
    const std::string valid = ValidReport().dump();
    const auto is_refused = [](const std::string& text) {
      return std::holds_alternative<document_errors>(
          ParseReport({"i-1"}, text));
    };
    const auto with = [](const char* key, const std::string& value) {
      json changed = ValidReport();
      changed[key] = "@";
      std::string text = changed.dump();
      return text.replace(text.find("\"@\""), 3, value);
    };
    REQUIRE_FALSE(is_refused(valid));
    for (const char* number :
         {"1e400", "-1e400", "18446744073709551616", "9223372036854775808",
          "-1", "1e19", "123456789012345678901234567890"}) {
      for (const char* key :
           {"born", "sequence", "concurrency", "cold_left_ms"}) {
        INFO(key << " " << number);
        REQUIRE(is_refused(with(key, number)));
      }
    }
    for (const char* address :
         {"\"10.0.0.9:65536\"", "\"10.0.0.9:-1\"", "\"10.0.0.9:\"",
          "\"10.0.0.9:99999999999999999999\"", "\"256.0.0.9:80\""}) {
      INFO(address);
      REQUIRE(is_refused(with("address", address)));
    }
    for (const std::size_t depth : {17U, 1'000U, 120'000U}) {
      const std::string open(depth, '[');
      const std::string close(depth, ']');
      REQUIRE(is_refused(with("extra", open + close)));
      REQUIRE(is_refused(with("zone", open)));
      REQUIRE(is_refused(open + close));
      std::string objects;
      for (std::size_t i = 0; i < depth; ++i) objects += "{\"a\":";
      REQUIRE(is_refused(objects + "1" + std::string(depth, '}')));
    }
  }
  SECTION("an id without hexadecimal digits is refused") {
    REQUIRE(std::holds_alternative<document_errors>(
        ParseReport({"i-"}, ValidReport().dump())));
  }
}

json ValidSettings() {
  return json::parse(R"({"node_name":"core-1","role":"control",
    "serves":["control_plane"],"ip":"10.1.0.12","zone":"east",
    "listen":{"control":"10.1.0.12:8166"},"internal_port_range":[7720,7735],
    "seed_nodes":["10.1.0.12:8166","10.2.0.42:8166"],"bootstrap":true,
    "data_dir":"/data","heartbeat_ms":1200,"fault_tolerance":{"machines":2},
    "bounds":{"grace_s":6},"limits":{}})");
}

TEST_CASE("settings of a control instance are parsed") {
  const auto parsed = ParseSettings(ValidSettings().dump());
  const auto& settings = std::get<fleet_settings>(parsed);
  const auto& role = std::get<control_role_settings>(settings.role);
  REQUIRE(ToString(role.calls) == "10.1.0.12:8166");
  REQUIRE(role.bootstraps_fleet);
  REQUIRE(role.tolerated_losses == 2);
  REQUIRE(settings.seeds.size() == 2);
  REQUIRE(settings.peer_port.value == 7720);
  REQUIRE(settings.stop_within == milliseconds(6000));

  SECTION("all errors are reported at once") {
    json invalid = ValidSettings();
    invalid["ip"] = "here";
    invalid["heartbeat_ms"] = -1;
    invalid.erase("data_dir");
    const auto refused = ParseSettings(invalid.dump());
    REQUIRE(std::get<document_errors>(refused).size() == 3);
  }
}

TEST_CASE("targets are observed only with the contract for it") {
  json document = ValidSettings();
  const auto observes = [&] {
    const auto parsed = ParseSettings(document.dump());
    return std::get<fleet_settings>(parsed).observe_targets;
  };
  REQUIRE_FALSE(observes());
  document["contracts"] = json::array();
  REQUIRE_FALSE(observes());
  document["contracts"] = {"outcomes", "health"};
  REQUIRE(observes());
  for (const json& invalid : {json("health"), json({"health", 7})}) {
    document["contracts"] = invalid;
    const auto refused = ParseSettings(document.dump());
    const auto& errors = std::get<document_errors>(refused);
    REQUIRE(errors.size() == 1);
    REQUIRE(errors[0].path == "contracts");
  }
}

TEST_CASE("settings of an entry instance are parsed") {
  json entry = ValidSettings();
  entry["serves"] = {"frontend"};
  entry["data_dir"] = nullptr;
  entry["listen"] = {{"datagram_addr", "10.1.0.10:8172"},
                     {"readiness_addr", "10.1.0.10:8167"}};
  const auto parsed = ParseSettings(entry.dump());
  const auto& settings = std::get<fleet_settings>(parsed);
  const auto& role = std::get<entry_role_settings>(settings.role);
  REQUIRE(ToString(role.packets) == "10.1.0.10:8172");
  REQUIRE(ToString(role.readiness) == "10.1.0.10:8167");
  REQUIRE(role.link_mbps == 0);

  SECTION("the rate of the link is optional") {
    entry["limits"] = {{"link_mbps", 2.5}};
    const auto limited = ParseSettings(entry.dump());
    REQUIRE(
        std::get<entry_role_settings>(std::get<fleet_settings>(limited).role)
            .link_mbps == 2.5);
    entry.erase("limits");
    REQUIRE(
        std::holds_alternative<fleet_settings>(ParseSettings(entry.dump())));
  }
  SECTION("an invalid rate of the link is refused") {
    for (const json& invalid : {json(-1), json("fast")}) {
      entry["limits"] = {{"link_mbps", invalid}};
      REQUIRE(
          std::holds_alternative<document_errors>(ParseSettings(entry.dump())));
    }
  }
}

// Changes, inserts or removes bytes at 1 to 5 random places of the text.
std::string Corrupt(std::string text, std::mt19937_64* random) {
  const int changes = 1 + static_cast<int>((*random)() % 5);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = (*random)() % text.size();
    switch ((*random)() % 3) {
      case 0:
        text[at] = static_cast<char>((*random)() % 256);
        break;
      case 1:
        text.erase(at, 1 + (*random)() % 4);
        break;
      default:
        text.insert(at, 1, "{}[]\",:0e-"[(*random)() % 10]);
    }
  }
  return text;
}

TEST_CASE("randomly corrupted documents don't crash the parsers") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 500; ++i) {
      ParseManifest(Corrupt(ValidManifest().dump(), &random));
      ParseReport({"i-1"}, Corrupt(ValidReport().dump(), &random));
      ParseSettings(Corrupt(ValidSettings().dump(), &random));
    }
  });
}

}  // namespace
}  // namespace lavendertack::platform
