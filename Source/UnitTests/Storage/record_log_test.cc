#include "Storage/record_log.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "UnitTests/Support/fake_disk.h"

namespace lavendertack {
namespace {

using testing::fake_disk;
using testing::power_failure;
using testing::power_failure_kind;
using testing::unsynced_bytes;

constexpr char kPath[] = "data/agreement.log";
using records = std::vector<std::string>;

records Found(fake_disk* disk) {
  record_log log(disk->Hooks());
  auto opened = log.Open(kPath);
  if (auto* error = std::get_if<storage_error>(&opened)) FAIL(error->reason);
  return std::get<opened_log>(opened).records;
}

bool IsRefused(fake_disk* disk) {
  record_log log(disk->Hooks());
  return std::holds_alternative<storage_error>(log.Open(kPath));
}

bool IsDone(const storage_result& result) {
  return std::holds_alternative<std::monostate>(result);
}

TEST_CASE("a log of records outlives its process") {
  fake_disk disk;
  {
    record_log log(disk.Hooks());
    REQUIRE(std::get<opened_log>(log.Open(kPath)).records.empty());
    for (const char* record : {"first", "second", "third"}) {
      REQUIRE(IsDone(log.Append(record)));
    }
  }
  REQUIRE(Found(&disk) == records{"first", "second", "third"});
  std::string& bytes = disk.Bytes(kPath);

  SECTION("a short last record is cut, and the cut is said") {
    bytes.resize(bytes.size() - 2);
    record_log log(disk.Hooks());
    const auto opened = std::get<opened_log>(log.Open(kPath));
    REQUIRE(opened.records == records{"first", "second"});
    REQUIRE(opened.torn_bytes == 24 + 8 - 2);
  }
  SECTION("a spoilt byte of any acknowledged record is refused") {
    const std::string good = bytes;
    for (std::size_t at = 0; at < good.size(); ++at) {
      for (const int bit : {1, 128}) {
        INFO("byte " << at << " bit " << bit);
        std::string& file = disk.Bytes(kPath);
        file = good;
        file[at] = static_cast<char>(file[at] ^ bit);
        const std::string spoilt = file;
        REQUIRE(IsRefused(&disk));
        REQUIRE(disk.Bytes(kPath) == spoilt);
      }
    }
  }
  SECTION("a full disk fails the record and all after it") {
    record_log log(disk.Hooks());
    REQUIRE(std::get<opened_log>(log.Open(kPath)).records.size() == 3);
    disk.FullAfter(30);
    REQUIRE(!IsDone(log.Append("fourth, which is too long")));
    REQUIRE(!IsDone(log.Append("x")));
    REQUIRE(!IsDone(log.Rewrite({"x"})));
    SECTION("and a restart on it can read, but not write") {
      record_log again(disk.Hooks());
      const auto opened = std::get<opened_log>(again.Open(kPath));
      REQUIRE(opened.records == records{"first", "second", "third"});
      REQUIRE(opened.rewrite_error.has_value());
      REQUIRE(!IsDone(again.Append("x")));
    }
  }
  SECTION("after a failed sync nothing more is taken") {
    record_log log(disk.Hooks());
    REQUIRE(std::get<opened_log>(log.Open(kPath)).records.size() == 3);
    disk.FailNextSync();
    REQUIRE(!IsDone(log.Append("fourth")));
    REQUIRE(!IsDone(log.Append("fifth")));
  }
}

// What the script below has got acknowledged, and what it was about to do.
struct progress {
  records acknowledged;
  records next;
};

// A life of a process: opens, appends, compacts, appends.
void RunScript(fake_disk* disk, progress* state) {
  const std::string wide(700, 'w');  // More than a sector.
  record_log log(disk->Hooks());
  // Outside of REQUIRE, which would swallow the power failure.
  const auto opened = log.Open(kPath);
  REQUIRE(std::holds_alternative<opened_log>(opened));
  const auto append = [&](const std::string& record) {
    state->next.push_back(record);
    const storage_result appended = log.Append(record);
    REQUIRE(IsDone(appended));
    state->acknowledged = state->next;
  };
  append("first");
  append(wide);
  append("third");
  state->next = {"snapshot " + wide, "tail"};
  const storage_result rewritten = log.Rewrite(state->next);
  REQUIRE(IsDone(rewritten));
  state->acknowledged = state->next;
  append("sixth");
  append(wide + "seventh");
}

std::vector<power_failure_kind> AllKinds() {
  std::vector<power_failure_kind> kinds;
  for (const auto bytes : {unsynced_bytes::kNone, unsynced_bytes::kHalf,
                           unsynced_bytes::kAll, unsynced_bytes::kLostSector}) {
    for (const bool names_last : {false, true}) {
      kinds.push_back({bytes, names_last});
    }
  }
  return kinds;
}

// Runs `action` until the power fails at operation `point`. False when the
// action ended before.
template <typename Action>
bool CutAt(fake_disk* disk, std::uint64_t point, Action action) {
  disk->FailPowerAfter(point);
  try {
    action();
  } catch (const power_failure&) {
    return true;
  }
  return false;
}

TEST_CASE("no power failure takes back an acknowledged record") {
  int cuts = 0;
  for (const power_failure_kind first : AllKinds()) {
    for (std::uint64_t point = 0;; ++point) {
      fake_disk disk;
      progress state;
      if (!CutAt(&disk, point, [&] { RunScript(&disk, &state); })) break;
      disk.PowerFailure(first);
      // The power fails again at each operation of the recovery.
      for (std::uint64_t again = 0;; ++again) {
        INFO("cut at " << point << ", then at " << again);
        fake_disk copy;
        progress replay;
        CutAt(&copy, point, [&] { RunScript(&copy, &replay); });
        copy.PowerFailure(first);
        const bool cut = CutAt(&copy, again, [&] { Found(&copy); });
        copy.PowerFailure({unsynced_bytes::kHalf, again % 2 == 0});
        const records found = Found(&copy);
        const bool known = found == state.acknowledged || found == state.next;
        REQUIRE(known);
        ++cuts;
        if (!cut) break;
      }
    }
  }
  INFO(cuts);
  REQUIRE(cuts > 500);
}

TEST_CASE("the machine's own file system keeps the records") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("lavendertack-record-log-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  const std::string path = folder / "agreement.log";
  {
    record_log log;
    REQUIRE(std::get<opened_log>(log.Open(path)).records.empty());
    REQUIRE(IsDone(log.Append("first")));
    REQUIRE(IsDone(log.Rewrite({"snapshot"})));
    REQUIRE(IsDone(log.Append("tail")));
  }
  record_log log;
  REQUIRE(std::get<opened_log>(log.Open(path)).records ==
          records{"snapshot", "tail"});
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace lavendertack
