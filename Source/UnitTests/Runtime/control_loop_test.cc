#include "Runtime/control_loop.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <vector>

#include "Runtime/fleet_links.h"
#include "Storage/record_log.h"

namespace lavendertack {
namespace {

// A process used to open the log, which replaces the file, before it found its
// address in use. Later records of the running process were lost.
TEST_CASE("a second process leaves the log of a running one unchanged") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("lavendertack-control-loop-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  const std::string path = folder / "control.log";
  record_log log;
  REQUIRE(std::holds_alternative<opened_log>(log.Open(path)));
  const ipv4_address self{0x7f000001};
  const fleet_settings settings{
      .host_name = "host",
      .self = self,
      .data_centre = {"a"},
      .seeds = {self},
      .peer_port = {28'917},
      .metrics_port = {28'918},
      .heartbeat_interval = milliseconds(1200),
      .stop_within = milliseconds(6000),
      .role = control_role_settings{.calls = {self, {28'919}},
                                    .data_folder = folder}};
  zmq::context_t context;
  fleet_links running(&context, settings.peer_port);
  running.Listen(self);
  const fleet_adapter adapter;
  settings_file file(folder / "settings.json", &adapter);
  process_signals signals;
  signals.stop = 1;
  const auto result = RunControl(settings, adapter, &file, &signals);
  REQUIRE(std::get<fleet_error>(result).what == "Address already in use");
  REQUIRE(std::holds_alternative<std::monostate>(log.Append("later")));
  record_log reopened;
  REQUIRE(std::get<opened_log>(reopened.Open(path)).records ==
          std::vector<std::string>{"later"});
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace lavendertack
