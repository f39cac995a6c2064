#include "Storage/record_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <cstring>
#include <filesystem>

#include "Common/hash.h"

namespace lavendertack {
namespace {

// The header of a record: its length (4 bytes), the checksum of the header (4
// bytes), the sequence number of the record in the file (8 bytes) and the
// checksum of the record (8 bytes).
constexpr std::size_t kHeaderBytes = 24;
constexpr std::size_t kLengthOffset = 0;
constexpr std::size_t kHeaderChecksumOffset = 4;
constexpr std::size_t kSequenceOffset = 8;
constexpr std::size_t kChecksumOffset = 16;
// Smallest unit that a disk writes.
constexpr std::size_t kSectorBytes = 512;
// Headers and padded records are multiples of this size, so a sector that was
// never written shows as at least one word of zeros in a record. The header and
// the padding of a complete record contain no word of zeros, so they can't be
// mistaken for an unwritten sector.
constexpr std::size_t kWordBytes = 8;
constexpr char kPadding = '\xff';

// A parsed header. The sequence numbers of a file start at 1.
struct record_header {
  std::uint32_t length = 0;
  std::uint64_t sequence = 0;
  std::uint64_t checksum = 0;
};

template <typename Number>
Number Load(std::string_view bytes, std::size_t offset) {
  Number number{};
  std::memcpy(&number, bytes.data() + offset, sizeof(number));
  return number;
}

template <typename Number>
void Store(std::string* bytes, std::size_t offset, Number number) {
  std::memcpy(bytes->data() + offset, &number, sizeof(number));
}

std::size_t PaddedSize(std::size_t length) {
  return (length + kWordBytes - 1) / kWordBytes * kWordBytes;
}

// Checksum of the header without the checksum field itself.
std::uint32_t HeaderChecksum(std::string_view header) {
  const auto length = Load<std::uint32_t>(header, kLengthOffset);
  return static_cast<std::uint32_t>(StableHash(
      header.substr(kSequenceOffset, kHeaderBytes - kSequenceOffset), length));
}

// Encodes a record with its header and padding.
std::string EncodeRecord(std::string_view record, std::uint64_t sequence) {
  std::string bytes(kHeaderBytes, '\0');
  Store(&bytes, kLengthOffset, static_cast<std::uint32_t>(record.size()));
  Store(&bytes, kSequenceOffset, sequence);
  Store(&bytes, kChecksumOffset, StableHash(record));
  Store(&bytes, kHeaderChecksumOffset, HeaderChecksum(bytes));
  bytes += record;
  bytes.resize(kHeaderBytes + PaddedSize(record.size()), kPadding);
  return bytes;
}

std::optional<record_header> ParseHeader(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  if (Load<std::uint32_t>(bytes, kHeaderChecksumOffset) !=
      HeaderChecksum(bytes)) {
    return std::nullopt;
  }
  return record_header{.length = Load<std::uint32_t>(bytes, kLengthOffset),
                       .sequence = Load<std::uint64_t>(bytes, kSequenceOffset),
                       .checksum = Load<std::uint64_t>(bytes, kChecksumOffset)};
}

// Parses the record at the start of `bytes`. Returns nothing if it is
// incomplete or corrupt or has another sequence number.
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

// Whether `bytes` contain the header of a record after `sequence`. A record is
// written only after the previous one was synced, so such a header proves that
// the record `sequence` was acknowledged.
bool IsFollowedByRecord(std::string_view bytes, std::uint64_t sequence) {
  for (std::size_t offset = 1; offset + kHeaderBytes <= bytes.size();
       ++offset) {
    const auto header = ParseHeader(bytes.substr(offset));
    if (!header || header->sequence <= sequence) continue;
    // Every record takes more than one byte, so a higher number is a random
    // match.
    if (header->sequence <= sequence + bytes.size()) return true;
  }
  return false;
}

// Whether a sector from `start` on was never written: a file system may extend
// a file before it writes the content.
bool HasUnwrittenSector(std::string_view bytes, std::size_t start) {
  std::size_t offset = start;
  while (offset < bytes.size()) {
    const std::size_t end =
        std::min(bytes.size(), (offset / kSectorBytes + 1) * kSectorBytes);
    const std::string_view sector = bytes.substr(offset, end - offset);
    const bool zero = std::all_of(sector.begin(), sector.end(),
                                  [](char byte) { return byte == '\0'; });
    if (zero && end - offset >= kWordBytes) return true;
    offset = end;
  }
  return false;
}

// Whether the bytes from `start` to the end of the file can be the remains of
// an interrupted write. A record of full length without an unwritten sector but
// with a wrong checksum is corrupt instead.
bool IsTornWrite(std::string_view bytes, std::size_t start,
                 std::uint64_t sequence) {
  const std::string_view rest = bytes.substr(start);
  if (IsFollowedByRecord(rest, sequence)) return false;
  if (rest.size() < kHeaderBytes) return true;
  const auto header = ParseHeader(rest);
  if (header && rest.size() - kHeaderBytes < PaddedSize(header->length)) {
    return true;
  }
  return HasUnwrittenSector(bytes, start);
}

std::variant<opened_log, storage_error> ParseRecords(const std::string& path,
                                                     std::string_view bytes) {
  opened_log opened;
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const std::uint64_t sequence = opened.records.size() + 1;
    const auto record = ParseRecord(bytes.substr(offset), sequence);
    if (record) {
      opened.records.emplace_back(*record);
      offset += kHeaderBytes + PaddedSize(record->size());
      continue;
    }
    if (!IsTornWrite(bytes, offset, sequence)) {
      return storage_error{path, "corrupt record at byte " +
                                     std::to_string(offset) + ", file refused"};
    }
    opened.torn_bytes = bytes.size() - offset;
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
  CHECK(!record.empty())
      << "an empty record cannot be told apart from an unwritten sector";
  if (failed_) return storage_error{path_, "log disabled by an earlier error"};
  storage_result result =
      files_.append(path_, EncodeRecord(record, next_sequence_));
  if (!IsError(result)) result = files_.sync(path_);
  failed_ = IsError(result);
  ++next_sequence_;
  return result;
}

storage_result record_log::Rewrite(const std::vector<std::string>& records) {
  if (failed_) return storage_error{path_, "log disabled by an earlier error"};
  storage_result result = ReplaceFile(records);
  failed_ = IsError(result);
  return result;
}

storage_result record_log::ReplaceFile(
    const std::vector<std::string>& records) {
  const std::string temp = path_ + ".new";
  std::string bytes;
  next_sequence_ = 1;
  for (const std::string& record : records) {
    bytes += EncodeRecord(record, next_sequence_++);
  }
  if (auto result = files_.remove(temp); IsError(result)) return result;
  if (auto result = files_.append(temp, bytes); IsError(result)) return result;
  if (auto result = files_.sync(temp); IsError(result)) return result;
  if (auto result = files_.rename(temp, path_); IsError(result)) return result;
  return files_.sync_folder(std::filesystem::path(path_).parent_path());
}

}  // namespace lavendertack
