// Validating reader for JSON written by hand. Each error is added to a list
// with the path of the value, and reading continues, so that all errors are
// reported together.
#ifndef LAVENDERTACK_JSON_OBJECT_READER_H_
#define LAVENDERTACK_JSON_OBJECT_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lavendertack {

// An invalid value: its path, such as `instances[1].name`, and the reason as
// the end of a sentence that the path begins, such as "is missing".
struct json_error {
  std::string path;
  std::string reason;
};

// Inclusive bounds of an integer.
struct number_range {
  std::uint64_t low = 0;
  std::uint64_t high = 0;
};

// Parses a document. For malformed text, a duplicate key within an object or
// more than 16 levels of nesting, adds an error and returns nothing.
std::optional<nlohmann::json> ParseDocument(std::string_view text,
                                            std::vector<json_error>* errors);

// Reads the values of one object by key. For a missing or invalid value, adds
// an error and returns an empty string, 0, false, the lower bound or null.
class object_reader {
 public:
  // `path` is the path of `object` in the document, empty for the top level.
  // `object` and `errors` must outlive the reader.
  object_reader(const nlohmann::json& object, std::string path,
                std::vector<json_error>* errors);

  // Adds an error about the value of `key`, or about the object when `key` is
  // empty.
  void AddError(const std::string& key, std::string reason) const;

  // Whether the key is present. Adds no error.
  bool HasKey(const std::string& key);

  // Reads a string of 1 to `max_bytes` bytes without control characters.
  std::string ReadString(const std::string& key, std::size_t max_bytes);
  // Reads an integer within `range`.
  std::uint64_t ReadUnsigned(const std::string& key, const number_range& range);
  // Reads a number of at least 0, with or without a fraction.
  double ReadNonNegative(const std::string& key);
  // Reads true or false.
  bool ReadBool(const std::string& key);
  // Reads an array. Its items aren't checked.
  const nlohmann::json* ReadArray(const std::string& key);
  // Returns the path of an item of the array `key`.
  std::string ItemPath(const std::string& key, std::size_t index) const;

  // Adds an error for each key of the object that wasn't passed to HasKey or a
  // Read function before. To be called last.
  void ReportUnknownKeys() const;

 private:
  const nlohmann::json* FindRequired(const std::string& key);
  std::string PathOf(const std::string& key) const;

  const nlohmann::json& object_;
  std::string path_;
  std::vector<json_error>* errors_;
  std::set<std::string> requested_keys_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_JSON_OBJECT_READER_H_
