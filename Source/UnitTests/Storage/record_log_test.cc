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

// Opens the log and returns its records; fails the test on an error.
records ReadRecords(fake_disk* disk) {
  record_log log(disk->FileSystem());
  auto opened = log.Open(kPath);
  if (auto* error = std::get_if<storage_error>(&opened)) FAIL(error->reason);
  return std::get<opened_log>(opened).records;
}

// Whether opening the log is an error.
bool IsOpenError(fake_disk* disk) {
  record_log log(disk->FileSystem());
  return std::holds_alternative<storage_error>(log.Open(kPath));
}

bool IsSuccess(const storage_result& result) {
  return std::holds_alternative<std::monostate>(result);
}

TEST_CASE("records survive a restart of the process") {
  fake_disk disk;
  {
    record_log log(disk.FileSystem());
    REQUIRE(std::get<opened_log>(log.Open(kPath)).records.empty());
    for (const char* record : {"first", "second", "third"}) {
      REQUIRE(IsSuccess(log.Append(record)));
    }
  }
  REQUIRE(ReadRecords(&disk) == records{"first", "second", "third"});
  std::string& bytes = disk.Bytes(kPath);

  SECTION("an incomplete last record is cut and its length reported") {
    bytes.resize(bytes.size() - 2);
    record_log log(disk.FileSystem());
    const auto opened = std::get<opened_log>(log.Open(kPath));
    REQUIRE(opened.records == records{"first", "second"});
    REQUIRE(opened.torn_bytes == 24 + 8 - 2);
  }
  SECTION("a flipped bit in an acknowledged record is an error") {
    const std::string intact = bytes;
    for (std::size_t offset = 0; offset < intact.size(); ++offset) {
      for (const int bit : {1, 128}) {
        INFO("byte " << offset << " bit " << bit);
        std::string& file = disk.Bytes(kPath);
        file = intact;
        file[offset] = static_cast<char>(file[offset] ^ bit);
        const std::string corrupt = file;
        REQUIRE(IsOpenError(&disk));
        REQUIRE(disk.Bytes(kPath) == corrupt);
      }
    }
  }
  SECTION("on a full disk the record and all later writes fail") {
    record_log log(disk.FileSystem());
    REQUIRE(std::get<opened_log>(log.Open(kPath)).records.size() == 3);
    disk.LimitFreeBytes(30);
    REQUIRE(!IsSuccess(log.Append("fourth, which is too long")));
    REQUIRE(!IsSuccess(log.Append("x")));
    REQUIRE(!IsSuccess(log.Rewrite({"x"})));
    SECTION("after a restart the log is read-only") {
      record_log reopened(disk.FileSystem());
      const auto opened = std::get<opened_log>(reopened.Open(kPath));
      REQUIRE(opened.records == records{"first", "second", "third"});
      REQUIRE(opened.rewrite_error.has_value());
      REQUIRE(!IsSuccess(reopened.Append("x")));
    }
  }
  SECTION("after a failed sync all writes fail") {
    record_log log(disk.FileSystem());
    REQUIRE(std::get<opened_log>(log.Open(kPath)).records.size() == 3);
    disk.FailNextSync();
    REQUIRE(!IsSuccess(log.Append("fourth")));
    REQUIRE(!IsSuccess(log.Append("fifth")));
  }
}

// Records that were acknowledged to RunScript(), and the records that the log
// contains once the write in progress is done.
struct progress {
  records acknowledged;
  records next;
};

// Opens a log, appends records, rewrites it and appends again.
void RunScript(fake_disk* disk, progress* run) {
  const std::string long_record(700, 'w');  // More than a sector.
  record_log log(disk->FileSystem());
  // Called outside of REQUIRE, which would catch the power_failure exception.
  const auto opened = log.Open(kPath);
  REQUIRE(std::holds_alternative<opened_log>(opened));
  const auto append = [&](const std::string& record) {
    run->next.push_back(record);
    const storage_result appended = log.Append(record);
    REQUIRE(IsSuccess(appended));
    run->acknowledged = run->next;
  };
  append("first");
  append(long_record);
  append("third");
  run->next = {"snapshot " + long_record, "tail"};
  const storage_result rewritten = log.Rewrite(run->next);
  REQUIRE(IsSuccess(rewritten));
  run->acknowledged = run->next;
  append("sixth");
  append(long_record + "seventh");
}

std::vector<power_failure_kind> AllPowerFailureKinds() {
  std::vector<power_failure_kind> kinds;
  for (const auto bytes :
       {unsynced_bytes::kNone, unsynced_bytes::kHalf, unsynced_bytes::kAll,
        unsynced_bytes::kZeroedSector}) {
    for (const bool folder_changes_persisted : {false, true}) {
      kinds.push_back({bytes, folder_changes_persisted});
    }
  }
  return kinds;
}

// Runs `action` with a power failure after `point` disk operations. Returns
// false if the action ended before it.
template <typename Action>
bool CutPowerAt(fake_disk* disk, std::uint64_t point, Action action) {
  disk->FailPowerAfter(point);
  try {
    action();
  } catch (const power_failure&) {
    return true;
  }
  return false;
}

// Cuts the power at every disk operation of RunScript() and again at every
// operation of the recovery. The log must then contain either the acknowledged
// records or the result of the write in progress.
TEST_CASE("acknowledged records survive power failures") {
  int runs = 0;
  for (const power_failure_kind first_failure : AllPowerFailureKinds()) {
    for (std::uint64_t point = 0;; ++point) {
      fake_disk disk;
      progress run;
      if (!CutPowerAt(&disk, point, [&] { RunScript(&disk, &run); })) break;
      disk.PowerFailure(first_failure);
      for (std::uint64_t second_point = 0;; ++second_point) {
        INFO("power cut at operation "
             << point << ", then at recovery operation " << second_point);
        fake_disk rebuilt_disk;
        progress repeated_run;
        CutPowerAt(&rebuilt_disk, point,
                   [&] { RunScript(&rebuilt_disk, &repeated_run); });
        rebuilt_disk.PowerFailure(first_failure);
        const bool interrupted = CutPowerAt(
            &rebuilt_disk, second_point, [&] { ReadRecords(&rebuilt_disk); });
        rebuilt_disk.PowerFailure(
            {unsynced_bytes::kHalf, second_point % 2 == 0});
        const records recovered = ReadRecords(&rebuilt_disk);
        const bool expected =
            recovered == run.acknowledged || recovered == run.next;
        REQUIRE(expected);
        ++runs;
        if (!interrupted) break;
      }
    }
  }
  INFO(runs);
  REQUIRE(runs > 500);
}

TEST_CASE("records survive on the file system of the operating system") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("lavendertack-record-log-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  const std::string path = folder / "agreement.log";
  {
    record_log log;
    REQUIRE(std::get<opened_log>(log.Open(path)).records.empty());
    REQUIRE(IsSuccess(log.Append("first")));
    REQUIRE(IsSuccess(log.Rewrite({"snapshot"})));
    REQUIRE(IsSuccess(log.Append("tail")));
  }
  record_log log;
  REQUIRE(std::get<opened_log>(log.Open(path)).records ==
          records{"snapshot", "tail"});
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace lavendertack
