// lavendertackctl, the operators' command line: reads the flags and runs a
// command.
#include <gflags/gflags.h>
#include <unistd.h>

#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "Config/host_check.h"
#include "Ctl/commands.h"
#include "Ctl/http_transport.h"

DEFINE_string(admin, "127.0.0.1:7300",
              "ip:port of the administration API of one or more instances, "
              "separated by comma.");
DEFINE_string(token_file, "", "File with the token that authorises changes.");
DEFINE_bool(json, false, "Print JSON.");
DEFINE_bool(take_next_number, false,
            "dc out|in: try the next number if one is in use.");
DEFINE_uint32(wait_s, 10, "Maximum wait for a ticket to be in force, seconds.");
DEFINE_uint32(timeout_s, 12, "Maximum wait for a reply, seconds.");
DECLARE_bool(help);

namespace {

std::vector<std::string> SplitByComma(const std::string& text) {
  std::stringstream in(text);
  std::vector<std::string> parts;
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace lavendertack;  // NOLINT(google-build-using-namespace)
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  std::vector<std::string> words(argv + 1, argv + argc);
  const bool help = FLAGS_help || (!words.empty() && words[0] == "help");
  if (help) {
    if (!words.empty() && words[0] == "help") words.erase(words.begin());
    std::cout << FormatHelp(words);
    return kExitSuccess;
  }
  std::string token;
  if (!FLAGS_token_file.empty()) {
    auto read = ReadTokenFile(FLAGS_token_file);
    if (auto* error = std::get_if<settings_error>(&read)) {
      std::cerr << error->path << " " << error->reason << "\n";
      return kExitUsage;
    }
    token = std::get<std::string>(read);
  }
  const command_context context{
      .client = admin_client(
          SplitByComma(FLAGS_admin), token,
          MakeHttpTransport(std::chrono::seconds(FLAGS_timeout_s))),
      .options = {.json = FLAGS_json,
                  .progress = isatty(STDERR_FILENO) == 1 && !FLAGS_json,
                  .take_next_number = FLAGS_take_next_number,
                  .wait_timeout = std::chrono::seconds(FLAGS_wait_s)},
      .out = std::cout,
      .err = std::cerr,
      .sleep = [](milliseconds time) { std::this_thread::sleep_for(time); }};
  return RunCommand(context, words);
}
