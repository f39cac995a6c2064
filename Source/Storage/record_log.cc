#include "Storage/record_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <cstring>
#include <filesystem>

#include "Common/hash.h"

namespace lavendertack {
namespace {

// Before each record stand its length (4 bytes), the checksum of the header (4
// bytes), its sequence number in the file and its checksum (8 bytes each).
constexpr std::size_t kHeaderBytes = 24;
constexpr std::size_t kLengthAt = 0;
constexpr std::size_t kHeaderSumAt = 4;
constexpr std::size_t kSequenceAt = 8;
constexpr std::size_t kChecksumAt = 16;
// Disks write whole sectors.
constexpr std::size_t kSectorBytes = 512;
// Records are padded to whole words. So a sector that was never written takes
// at least one word of zeros from a record, and no whole record has one at the
// edge of a sector in its header or padding.
constexpr std::size_t kWordBytes = 8;
constexpr char kPadding = '\xff';

struct record_header {
  std::uint32_t length = 0;
  std::uint64_t sequence = 0;
  std::uint64_t checksum = 0;
};

template <typename Number>
Number Load(std::string_view bytes, std::size_t at) {
  Number number{};
  std::memcpy(&number, bytes.data() + at, sizeof(number));
  return number;
}

template <typename Number>
void Store(std::string* bytes, std::size_t at, Number number) {
  std::memcpy(bytes->data() + at, &number, sizeof(number));
}

std::size_t PaddedSize(std::size_t length) {
  return (length + kWordBytes - 1) / kWordBytes * kWordBytes;
}

// Of the header without its own checksum.
std::uint32_t HeaderSum(std::string_view header) {
  const auto length = Load<std::uint32_t>(header, kLengthAt);
  return static_cast<std::uint32_t>(StableHash(
      header.substr(kSequenceAt, kHeaderBytes - kSequenceAt), length));
}

std::string Frame(std::string_view record, std::uint64_t sequence) {
  std::string bytes(kHeaderBytes, '\0');
  Store(&bytes, kLengthAt, static_cast<std::uint32_t>(record.size()));
  Store(&bytes, kSequenceAt, sequence);
  Store(&bytes, kChecksumAt, StableHash(record));
  Store(&bytes, kHeaderSumAt, HeaderSum(bytes));
  bytes += record;
  bytes.resize(kHeaderBytes + PaddedSize(record.size()), kPadding);
  return bytes;
}

std::optional<record_header> ParseHeader(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  if (Load<std::uint32_t>(bytes, kHeaderSumAt) != HeaderSum(bytes)) {
    return std::nullopt;
  }
  return record_header{.length = Load<std::uint32_t>(bytes, kLengthAt),
                       .sequence = Load<std::uint64_t>(bytes, kSequenceAt),
                       .checksum = Load<std::uint64_t>(bytes, kChecksumAt)};
}

// The whole record at the front of `bytes`.
std::optional<std::string_view> ParseRecord(std::string_view bytes,
                                            std::uint64_t sequence) {
  const auto header = ParseHeader(bytes);
  if (!header || header->sequence != sequence) return std::nullopt;
  const std::size_t padded = PaddedSize(header->length);
  if (bytes.size() - kHeaderBytes < padded) return std::nullopt;
  const std::string_view record = bytes.substr(kHeaderBytes, header->length);
  if (StableHash(record) != header->checksum) return std::nullopt;
  const std::string_view padding =
      bytes.substr(kHeaderBytes + header->length, padded - header->length);
  if (padding.find_first_not_of(kPadding) != padding.npos) return std::nullopt;
  return record;
}

// A record is written only after the one before it was synced. So a header
// with a later number proves that what stands before it was acknowledged.
bool IsFollowedByRecord(std::string_view bytes, std::uint64_t sequence) {
  for (std::size_t at = 1; at + kHeaderBytes <= bytes.size(); ++at) {
    const auto header = ParseHeader(bytes.substr(at));
    if (!header || header->sequence <= sequence) continue;
    if (header->sequence <= sequence + bytes.size()) return true;
  }
  return false;
}

// Tells whether a sector from `first` on was never written: a file system may
// lengthen a file before it writes the content.
bool HasLostSector(std::string_view bytes, std::size_t first) {
  std::size_t at = first;
  while (at < bytes.size()) {
    const std::size_t end =
        std::min(bytes.size(), (at / kSectorBytes + 1) * kSectorBytes);
    const std::string_view sector = bytes.substr(at, end - at);
    const bool zero = std::all_of(sector.begin(), sector.end(),
                                  [](char byte) { return byte == '\0'; });
    if (zero && end - at >= kWordBytes) return true;
    at = end;
  }
  return false;
}

// Whether what stands from `first` to the end of the file can be a write that
// never ended. Whole bytes with a wrong checksum are no such write.
bool IsTornWrite(std::string_view bytes, std::size_t first,
                 std::uint64_t sequence) {
  const std::string_view rest = bytes.substr(first);
  if (IsFollowedByRecord(rest, sequence)) return false;
  if (rest.size() < kHeaderBytes) return true;
  const auto header = ParseHeader(rest);
  if (header && rest.size() - kHeaderBytes < PaddedSize(header->length)) {
    return true;
  }
  return HasLostSector(bytes, first);
}

std::variant<opened_log, storage_error> ParseRecords(const std::string& path,
                                                     std::string_view bytes) {
  opened_log opened;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const std::uint64_t sequence = opened.records.size() + 1;
    const auto record = ParseRecord(bytes.substr(at), sequence);
    if (record) {
      opened.records.emplace_back(*record);
      at += kHeaderBytes + PaddedSize(record->size());
      continue;
    }
    if (!IsTornWrite(bytes, at, sequence)) {
      return storage_error{path, "corrupt record at byte " +
                                     std::to_string(at) + ", file refused"};
    }
    opened.torn_bytes = bytes.size() - at;
    break;
  }
  return opened;
}

bool IsError(const storage_result& result) {
  return std::holds_alternative<storage_error>(result);
}

}  // namespace

record_log::record_log(file_system files) : files_(std::move(files)) {}

std::variant<opened_log, storage_error> record_log::Open(
    const std::string& path) {
  path_ = path;
  const read_result found = files_.read(path);
  if (const auto* error = std::get_if<storage_error>(&found)) return *error;
  const auto& bytes = std::get<std::optional<std::string>>(found);
  auto parsed = ParseRecords(path, bytes ? *bytes : std::string());
  auto* opened = std::get_if<opened_log>(&parsed);
  if (opened == nullptr) return parsed;
  const storage_result written = Rewrite(opened->records);
  if (const auto* error = std::get_if<storage_error>(&written)) {
    opened->rewrite_error = *error;
  }
  return parsed;
}

storage_result record_log::Append(std::string_view record) {
  CHECK(!record.empty()) << "an empty record looks like a lost sector";
  if (failed_) return storage_error{path_, "failed earlier"};
  storage_result result = files_.append(path_, Frame(record, next_sequence_));
  if (!IsError(result)) result = files_.sync(path_);
  failed_ = IsError(result);
  ++next_sequence_;
  return result;
}

storage_result record_log::Rewrite(const std::vector<std::string>& records) {
  if (failed_) return storage_error{path_, "failed earlier"};
  storage_result result = WriteAnew(records);
  failed_ = IsError(result);
  return result;
}

storage_result record_log::WriteAnew(const std::vector<std::string>& records) {
  const std::string path = path_ + ".new";
  std::string bytes;
  next_sequence_ = 1;
  for (const std::string& record : records) {
    bytes += Frame(record, next_sequence_++);
  }
  if (auto result = files_.remove(path); IsError(result)) return result;
  if (auto result = files_.append(path, bytes); IsError(result)) return result;
  if (auto result = files_.sync(path); IsError(result)) return result;
  if (auto result = files_.rename(path, path_); IsError(result)) return result;
  return files_.sync_folder(std::filesystem::path(path_).parent_path());
}

}  // namespace lavendertack
