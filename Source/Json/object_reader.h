// Checked reading of JSON that people write: every fault is noted with its
// path, and reading goes on, so that all faults are told at once.
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

// What is wrong in a document: the path of the value, and why.
struct json_error {
  std::string path;
  std::string reason;
};

// Bounds of a whole number, both within.
struct number_range {
  std::uint64_t low = 0;
  std::uint64_t high = 0;
};

// Parses a document. Malformed text, a key that stands twice in an object and
// nesting deeper than 16 are noted, and nothing is returned.
std::optional<nlohmann::json> ParseDocument(std::string_view text,
                                            std::vector<json_error>* errors);

// Reads the keys of one object. A value that is missing or wrong is noted and
// read as empty, false, the low bound or nothing.
class object_reader {
 public:
  // `object` and `errors` must outlive the reader.
  object_reader(const nlohmann::json& object, std::string path,
                std::vector<json_error>* errors);

  // Notes a fault of the value at `key`; of the object when it is empty.
  void Fail(const std::string& key, std::string reason) const;

  // True when the key is there; no fault when it isn't.
  bool Has(const std::string& key);

  // Text of 1 to `max_bytes` bytes without control characters.
  std::string Text(const std::string& key, std::size_t max_bytes);
  std::uint64_t Number(const std::string& key, const number_range& range);
  // A number of at least 0, with or without a fraction.
  double Decimal(const std::string& key);
  bool Bool(const std::string& key);
  // The list at `key`, or null.
  const nlohmann::json* List(const std::string& key);
  // Path of an item of the list at `key`.
  std::string ItemPath(const std::string& key, std::size_t index) const;

  // Notes every key that no call asked for.
  void FinishKeys() const;

 private:
  const nlohmann::json* Require(const std::string& key);
  std::string PathOf(const std::string& key) const;

  const nlohmann::json& object_;
  std::string path_;
  std::vector<json_error>* errors_;
  std::set<std::string> known_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_JSON_OBJECT_READER_H_
