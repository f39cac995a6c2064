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

#include "Config/host_check.h"
#include "Config/setting_keys.h"

namespace lavendertack {
namespace {

using nlohmann::json;

json ValidSettings() {
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

// Returns each error as "path reason", in the order of the checks.
std::vector<std::string> ErrorsOf(const std::string& text) {
  auto parsed = ParseSettings(text);
  std::vector<std::string> messages;
  if (auto* errors = std::get_if<std::vector<settings_error>>(&parsed)) {
    for (const auto& [path, reason] : *errors) {
      messages.push_back(path);
      messages.back().append(" ").append(reason);
    }
  }
  return messages;
}

settings ParseValid(const json& document) {
  return std::get<settings>(ParseSettings(document.dump()));
}

TEST_CASE("settings are checked as a whole") {
  json document = ValidSettings();
  REQUIRE(ErrorsOf(document.dump()).empty());

  SECTION(
      "unknown keys, wrong types and values out of range are reported "
      "together") {
    document["colour"] = "red";
    document["caller_address"] = "localhost:80";
    document["target_address"] = "127.0.0.1:70000";
    document["log_decisions"] = 2'000'000;
    document["stop_within_ms"] = "soon";
    document["instances"][1]["replica"] = 1;
    const auto messages = ErrorsOf(document.dump());
    const std::string not_an_endpoint =
        " is not an IPv4 address and port such as 127.0.0.1:7000";
    CHECK(messages == std::vector<std::string>{
                          "caller_address" + not_an_endpoint,
                          "target_address" + not_an_endpoint,
                          "log_decisions is not within 0 to 1000000",
                          "stop_within_ms is not a whole number of at least 0",
                          "instances[1].replica is not true or false",
                          "colour is unknown"});
  }
  SECTION("a replica needs a data folder") {
    document.erase("data_folder");
    CHECK(ErrorsOf(document.dump()) ==
          std::vector<std::string>{
              "data_folder is missing; a replica needs one"});
  }
  SECTION("names and addresses are unique") {
    document["instances"][1]["name"] = "one";
    document["instances"][1]["peer_address"] = "127.0.0.1:39002";
    CHECK(ErrorsOf(document.dump()) ==
          std::vector<std::string>{
              "instances[1].name repeats one of instances[0].name",
              "target_address repeats 127.0.0.1:39002 of "
              "instances[1].peer_address"});
  }
  SECTION("at least one replica is required") {
    document["instances"][0]["replica"] = false;
    CHECK(ErrorsOf(document.dump()).size() == 1);
  }
  SECTION(
      "an administration address outside loopback must be allowed explicitly") {
    document["admin_address"] = "192.0.2.1:39003";
    CHECK(ErrorsOf(document.dump()).size() == 1);
    document["admin_beyond_loopback"] = true;
    CHECK(ErrorsOf(document.dump()).empty());
  }
  SECTION("an even number of replicas causes a warning") {
    document["instances"][1]["replica"] = true;
    CHECK(ErrorsOf(document.dump()).empty());
    CHECK(SettingsWarnings(ParseValid(document)).at(0).path == "instances");
  }
  SECTION("the instance must be listed in instances") {
    document["instance"] = "three";
    CHECK(ErrorsOf(document.dump()) ==
          std::vector<std::string>{
              "instance is not the name of an item of instances"});
  }
}

TEST_CASE("invalid input is rejected without a crash") {
  SECTION("random bytes") {
    rc::prop("random bytes are rejected", [](const std::string& bytes) {
      RC_ASSERT(!ErrorsOf(bytes).empty());
    });
  }
  SECTION("truncations") {
    const std::string text = ValidSettings().dump();
    for (std::size_t size = 0; size < text.size(); ++size) {
      REQUIRE_FALSE(ErrorsOf(text.substr(0, size)).empty());
    }
  }
  SECTION("each key with a value of the wrong type") {
    const json valid = ValidSettings();
    for (const auto& [key, value] : valid.items()) {
      for (const json& other : {json(nullptr), json(-1), json::object()}) {
        json document = valid;
        document[key] = other;
        REQUIRE_FALSE(ErrorsOf(document.dump()).empty());
      }
    }
  }
}

TEST_CASE("settings are checked against the machine") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("lavendertack-settings-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  json document = ValidSettings();
  document["data_folder"] = (folder / "data").string();
  REQUIRE(CheckSettingsOnHost(ParseValid(document)).empty());

  SECTION("an address that isn't one of this machine") {
    document["target_address"] = "192.0.2.1:39002";
    const auto errors = CheckSettingsOnHost(ParseValid(document));
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].path == "target_address");
    CHECK(errors[0].reason == "192.0.2.1 is not an address of this machine");
  }
  SECTION("a data folder below a regular file") {
    std::ofstream(folder / "file") << "x";
    document["data_folder"] = (folder / "file" / "data").string();
    CHECK(CheckSettingsOnHost(ParseValid(document)).at(0).path ==
          "data_folder");
  }
  SECTION("a token file that other users may read") {
    const std::string path = (folder / "token").string();
    std::ofstream(path) << "0123456789abcdef\n";
    document["admin_token_file"] = path;
    chmod(path.c_str(), 0640);
    CHECK(CheckSettingsOnHost(ParseValid(document)).at(0).path ==
          "admin_token_file");
    chmod(path.c_str(), 0600);
    CHECK(CheckSettingsOnHost(ParseValid(document)).empty());
    CHECK(std::get<std::string>(ReadTokenFile(path)) == "0123456789abcdef");
  }
  SECTION("an address that is in use") {
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(socket_address);
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&socket_address), size) == 0);
    REQUIRE(getsockname(fd, reinterpret_cast<sockaddr*>(&socket_address),
                        &size) == 0);
    document["caller_address"] =
        "127.0.0.1:" + std::to_string(ntohs(socket_address.sin_port));
    const auto errors = FindAddressesInUse(ParseValid(document));
    CHECK(errors.at(0).path == "caller_address");
    close(fd);
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("docs/SETTINGS.md matches the table of keys") {
  std::ifstream in(std::string(LAVENDERTACK_DOCS) + "/SETTINGS.md");
  std::stringstream page;
  page << in.rdbuf();
  CHECK(page.str() == SettingsReference());
}

}  // namespace
}  // namespace lavendertack
