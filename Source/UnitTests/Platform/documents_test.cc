#include "platform/documents.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "UnitTests/Support/random_run.h"

namespace lavendertack::platform {
namespace {

using nlohmann::json;

json GoodManifest() {
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

// The paths of what is wrong.
std::vector<std::string> Faults(const json& document) {
  auto parsed = ParseManifest(document.dump());
  std::vector<std::string> paths;
  if (const auto* errors = std::get_if<document_errors>(&parsed)) {
    for (const json_error& error : *errors) paths.push_back(error.path);
  }
  return paths;
}

TEST_CASE("an operator's manifest is read") {
  const auto parsed = ParseManifest(GoodManifest().dump());
  const auto& read = std::get<manifest>(parsed);
  REQUIRE(read.version.value == 7);
  REQUIRE(read.routes.size() == 2);
  const route& split = read.routes.at(*ParseIpv4Endpoint("198.18.0.1:8443"));
  REQUIRE(split.shares.size() == 2);
  REQUIRE(split.shares[0].weight == 90);
  REQUIRE(split.priority == 2);
  REQUIRE(LongestColdStart(read) == milliseconds(2500));
}

TEST_CASE("an invalid manifest is refused as a whole, with what is wrong") {
  json bad = GoodManifest();
  using paths = std::vector<std::string>;

  SECTION("cut short") {
    const std::string text = bad.dump();
    for (std::size_t length = 0; length < text.size(); length += 7) {
      REQUIRE(std::holds_alternative<document_errors>(
          ParseManifest(text.substr(0, length))));
    }
  }
  SECTION("a route to an unknown service") {
    bad["routes"][0]["service"] = "nobody";
    REQUIRE(Faults(bad) == paths{"routes[0].service"});
  }
  SECTION("two routes at one place") {
    bad["routes"][1]["path_prefix"] = "/8080/";
    REQUIRE(Faults(bad) == paths{"routes[1]"});
  }
  SECTION("no time") {
    bad["routes"][0]["timeout_ms"] = 0;
    REQUIRE(Faults(bad) == paths{"routes[0].timeout_ms"});
  }
  SECTION("no weight at all") {
    bad["routes"][1]["traffic_split"][0]["weight"] = 0;
    bad["routes"][1]["traffic_split"][1]["weight"] = 0;
    REQUIRE(Faults(bad) == paths{"routes[1].traffic_split"});
  }
  SECTION("a port that is none") {
    for (const char* port : {"8080", "/0/", "/70000/", "//", "/x/", "/80/1/"}) {
      bad["routes"][0]["path_prefix"] = port;
      REQUIRE(Faults(bad) == paths{"routes[0].path_prefix"});
    }
  }
  SECTION("no version") {
    bad.erase("version");
    REQUIRE(Faults(bad) == paths{"version"});
  }
  SECTION("several faults are told at once") {
    bad["routes"][0]["timeout_ms"] = "soon";
    bad["routes"][1]["host"] = "example.org";
    REQUIRE(Faults(bad).size() == 2);
  }
}

json GoodReport() {
  return json::parse(R"({"service":"desk","address":"10.128.0.9:8080",
    "zone":"east","version":"v1","concurrency":2,"state":"ready",
    "cold_left_ms":150,"sequence":4,"born":1786632502144})");
}

TEST_CASE("a target's report is read") {
  const auto parsed = ParseReport({"i-7f3a91c2"}, GoodReport().dump());
  const auto& report = std::get<target_report>(parsed);
  REQUIRE(report.version == report_version{1786632502144, 4});
  REQUIRE(ToString(report.address) == "10.128.0.9:8080");
  REQUIRE(report.phase == target_phase::kReady);
  REQUIRE(report.cold_left == milliseconds(150));

  SECTION("with keys that nobody knows") {
    json more = GoodReport();
    more["colour"] = "blue";
    REQUIRE(std::holds_alternative<target_report>(
        ParseReport({"i-1"}, more.dump())));
  }
  SECTION("but not with a field missing or of another type") {
    const json good = GoodReport();
    for (const auto& [key, value] : good.items()) {
      json without = good;
      without.erase(key);
      json other = GoodReport();
      other[key] = json::array();
      INFO(key);
      REQUIRE(std::holds_alternative<document_errors>(
          ParseReport({"i-1"}, without.dump())));
      REQUIRE(std::holds_alternative<document_errors>(
          ParseReport({"i-1"}, other.dump())));
    }
  }
  SECTION("nor in a state that isn't known") {
    json other = GoodReport();
    other["state"] = "resting";
    REQUIRE(std::holds_alternative<document_errors>(
        ParseReport({"i-1"}, other.dump())));
  }
  SECTION("nor started at a fraction") {
    json other = GoodReport();
    other["born"] = 1786632502144.5;
    REQUIRE(std::holds_alternative<document_errors>(
        ParseReport({"i-1"}, other.dump())));
  }
  SECTION("nor under an id without a number") {
    REQUIRE(std::holds_alternative<document_errors>(
        ParseReport({"i-"}, GoodReport().dump())));
  }
}

json GoodSettings() {
  return json::parse(R"({"node_name":"core-1","role":"control",
    "serves":["control_plane"],"ip":"10.1.0.12","zone":"east",
    "listen":{"control":"10.1.0.12:8166"},"internal_port_range":[7720,7735],
    "seed_nodes":["10.1.0.12:8166","10.2.0.42:8166"],"bootstrap":true,
    "data_dir":"/data","heartbeat_ms":1200,"fault_tolerance":{"machines":2},
    "bounds":{"grace_s":6},"limits":{}})");
}

TEST_CASE("settings of a control instance are read") {
  const auto parsed = ParseSettings(GoodSettings().dump());
  const auto& settings = std::get<fleet_settings>(parsed);
  const auto& role = std::get<control_role_settings>(settings.role);
  REQUIRE(ToString(role.calls) == "10.1.0.12:8166");
  REQUIRE(role.bootstraps_fleet);
  REQUIRE(role.tolerated_losses == 2);
  REQUIRE(settings.seeds.size() == 2);
  REQUIRE(settings.peer_port.value == 7720);
  REQUIRE(settings.stop_within == milliseconds(6000));

  SECTION("or refused with every fault") {
    json bad = GoodSettings();
    bad["ip"] = "here";
    bad["heartbeat_ms"] = -1;
    bad.erase("data_dir");
    const auto refused = ParseSettings(bad.dump());
    REQUIRE(std::get<document_errors>(refused).size() == 3);
  }
}

TEST_CASE("settings of an entry instance are read") {
  json entry = GoodSettings();
  entry["serves"] = {"frontend"};
  entry["data_dir"] = nullptr;
  entry["listen"] = {{"datagram_addr", "10.1.0.10:8172"},
                     {"readiness_addr", "10.1.0.10:8167"}};
  const auto parsed = ParseSettings(entry.dump());
  const auto& settings = std::get<fleet_settings>(parsed);
  const auto& role = std::get<entry_role_settings>(settings.role);
  REQUIRE(ToString(role.packets) == "10.1.0.10:8172");
  REQUIRE(ToString(role.readiness) == "10.1.0.10:8167");
}

// Bytes changed, added and removed anywhere in a good document.
std::string Spoil(std::string text, std::mt19937_64* random) {
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

TEST_CASE("spoilt documents are read or refused, without harm") {
  testing::ForEachSeed([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 500; ++i) {
      ParseManifest(Spoil(GoodManifest().dump(), &random));
      ParseReport({"i-1"}, Spoil(GoodReport().dump(), &random));
      ParseSettings(Spoil(GoodSettings().dump(), &random));
    }
  });
}

}  // namespace
}  // namespace lavendertack::platform
