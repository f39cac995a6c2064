#include "Config/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <rapidcheck/catch.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "Config/machine_check.h"
#include "Config/setting_keys.h"

namespace lavendertack {
namespace {

using nlohmann::json;

json Good() {
  return json::parse(R"({
    "deployment": "sandukuni", "instance": "one",
    "caller_address": "127.0.0.1:39001", "target_address": "127.0.0.1:39002",
    "admin_address": "127.0.0.1:39003", "data_folder": "/tmp/settings-test",
    "instances": [
      {"name": "one", "data_centre": "east", "peer_address": "127.0.0.1:39004",
       "replica": true},
      {"name": "two", "data_centre": "west", "peer_address": "127.0.0.1:39005"}
    ]})");
}

// Each fault as "path reason", in order.
std::vector<std::string> FaultsOf(const std::string& text) {
  auto parsed = ParseSettings(text);
  std::vector<std::string> faults;
  if (auto* errors = std::get_if<std::vector<settings_error>>(&parsed)) {
    for (const auto& [path, reason] : *errors) {
      faults.push_back(path);
      faults.back().append(" ").append(reason);
    }
  }
  return faults;
}

settings Parsed(const json& document) {
  return std::get<settings>(ParseSettings(document.dump()));
}

TEST_CASE("settings are checked as a whole") {
  json document = Good();
  REQUIRE(FaultsOf(document.dump()).empty());

  SECTION("unknown keys, wrong types and ranges are told at once") {
    document["colour"] = "red";
    document["caller_address"] = "localhost:80";
    document["target_address"] = "127.0.0.1:70000";
    document["log_decisions"] = 2'000'000;
    document["stop_within_ms"] = "soon";
    document["instances"][1]["replica"] = 1;
    const auto faults = FaultsOf(document.dump());
    const std::string no_address =
        " is not an IPv4 address and port as 127.0.0.1:7000";
    CHECK(faults == std::vector<std::string>{
                        "caller_address" + no_address,
                        "target_address" + no_address,
                        "log_decisions is not within 0 to 1000000",
                        "stop_within_ms is not a whole number of at least 0",
                        "instances[1].replica is not true or false",
                        "colour is unknown"});
  }
  SECTION("a replica needs a data folder") {
    document.erase("data_folder");
    CHECK(FaultsOf(document.dump()) ==
          std::vector<std::string>{
              "data_folder is missing; a replica needs one"});
  }
  SECTION("names and addresses are unique") {
    document["instances"][1]["name"] = "one";
    document["instances"][1]["peer_address"] = "127.0.0.1:39002";
    CHECK(FaultsOf(document.dump()) ==
          std::vector<std::string>{
              "instances[1].name repeats one of instances[0].name",
              "target_address repeats 127.0.0.1:39002 of "
              "instances[1].peer_address"});
  }
  SECTION("without a replica no ticket could pass") {
    document["instances"][0]["replica"] = false;
    CHECK(FaultsOf(document.dump()).size() == 1);
  }
  SECTION("the administration API opens beyond loopback only when told") {
    document["admin_address"] = "192.0.2.1:39003";
    CHECK(FaultsOf(document.dump()).size() == 1);
    document["admin_beyond_loopback"] = true;
    CHECK(FaultsOf(document.dump()).empty());
  }
  SECTION("an even number of replicas is allowed with a warning") {
    document["instances"][1]["replica"] = true;
    CHECK(FaultsOf(document.dump()).empty());
    CHECK(SettingsWarnings(Parsed(document)).at(0).path == "instances");
  }
  SECTION("an instance that is not listed is refused") {
    document["instance"] = "three";
    CHECK(FaultsOf(document.dump()) ==
          std::vector<std::string>{"instance is not among instances"});
  }
}

TEST_CASE("bytes that are no settings never pass and never crash") {
  SECTION("any bytes") {
    rc::prop("any bytes", [](const std::string& bytes) {
      RC_ASSERT(!FaultsOf(bytes).empty());
    });
  }
  SECTION("truncations") {
    const std::string text = Good().dump();
    for (std::size_t size = 0; size < text.size(); ++size) {
      REQUIRE_FALSE(FaultsOf(text.substr(0, size)).empty());
    }
  }
  SECTION("each key with a value of another type") {
    const json good = Good();
    for (const auto& [key, value] : good.items()) {
      for (const json& other : {json(nullptr), json(-1), json::object()}) {
        json document = good;
        document[key] = other;
        REQUIRE_FALSE(FaultsOf(document.dump()).empty());
      }
    }
  }
}

TEST_CASE("settings are checked against the machine") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("lavendertack-settings-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  json document = Good();
  document["data_folder"] = (folder / "data").string();
  REQUIRE(CheckMachine(Parsed(document)).empty());

  SECTION("an address of another machine") {
    document["target_address"] = "192.0.2.1:39002";
    const auto errors = CheckMachine(Parsed(document));
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].path == "target_address");
    CHECK(errors[0].reason == "192.0.2.1 is not on this machine");
  }
  SECTION("a data folder below a file") {
    std::ofstream(folder / "file") << "x";
    document["data_folder"] = (folder / "file" / "data").string();
    CHECK(CheckMachine(Parsed(document)).at(0).path == "data_folder");
  }
  SECTION("a token file that others may read") {
    const std::string path = (folder / "token").string();
    std::ofstream(path) << "0123456789abcdef\n";
    document["admin_token_file"] = path;
    chmod(path.c_str(), 0640);
    CHECK(CheckMachine(Parsed(document)).at(0).path == "admin_token_file");
    chmod(path.c_str(), 0600);
    CHECK(CheckMachine(Parsed(document)).empty());
    CHECK(std::get<std::string>(ReadTokenFile(path)) == "0123456789abcdef");
  }
  SECTION("a taken address") {
    const int file = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(where);
    REQUIRE(bind(file, reinterpret_cast<sockaddr*>(&where), size) == 0);
    REQUIRE(getsockname(file, reinterpret_cast<sockaddr*>(&where), &size) == 0);
    document["caller_address"] =
        "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
    const auto errors = FindTakenAddresses(Parsed(document));
    CHECK(errors.at(0).path == "caller_address");
    close(file);
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("the reference page equals the table of keys") {
  std::ifstream in(std::string(LAVENDERTACK_DOCS) + "/SETTINGS.md");
  std::stringstream page;
  page << in.rdbuf();
  CHECK(page.str() == SettingsReference());
}

}  // namespace
}  // namespace lavendertack
