#include "Json/object_reader.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lavendertack {
namespace {

using nlohmann::json;

// Maximum nesting depth of a document.
constexpr int kMaxDepth = 16;

// Strings with control characters are refused: a line break would split a line
// of the log.
bool IsControlCharacter(char c) {
  return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

// Parser callback that detects excessive nesting and duplicate keys. The parsed
// document can't show duplicate keys, since it holds one value for each key.
class parse_checker {
 public:
  bool operator()(int depth, json::parse_event_t event, json& value) {
    if (depth > kMaxDepth) too_deep = true;
    if (event == json::parse_event_t::object_start) {
      open_object_keys_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      open_object_keys_.pop_back();
    } else if (event == json::parse_event_t::key) {
      const auto key = value.get<std::string>();
      if (!open_object_keys_.back().insert(key).second) repeated_key = key;
    }
    return true;
  }

  bool too_deep = false;
  std::optional<std::string> repeated_key;

 private:
  std::vector<std::set<std::string>> open_object_keys_;
};

}  // namespace

std::optional<json> ParseDocument(std::string_view text,
                                  std::vector<json_error>* errors) {
  parse_checker checker;
  json document;
  try {
    document = json::parse(text, std::ref(checker));
  } catch (const json::exception& error) {
    const auto* syntax = dynamic_cast<const json::parse_error*>(&error);
    errors->push_back({"", syntax == nullptr
                               ? "is not valid JSON"
                               : "is not valid JSON at byte " +
                                     std::to_string(syntax->byte)});
    return std::nullopt;
  }
  if (checker.too_deep) {
    errors->push_back(
        {"", "is nested deeper than " + std::to_string(kMaxDepth)});
    return std::nullopt;
  }
  if (checker.repeated_key) {
    errors->push_back(
        {*checker.repeated_key, "occurs more than once in an object"});
    return std::nullopt;
  }
  return document;
}

object_reader::object_reader(const json& object, std::string path,
                             std::vector<json_error>* errors)
    : object_(object), path_(std::move(path)), errors_(errors) {
  if (!object_.is_object()) AddError("", "is not an object");
}

std::string object_reader::PathOf(const std::string& key) const {
  const std::string dot = path_.empty() || key.empty() ? "" : ".";
  return path_ + dot + key;
}

void object_reader::AddError(const std::string& key, std::string reason) const {
  errors_->push_back({PathOf(key), std::move(reason)});
}

bool object_reader::HasKey(const std::string& key) {
  requested_keys_.insert(key);
  return object_.is_object() && object_.contains(key);
}

const json* object_reader::FindRequired(const std::string& key) {
  if (HasKey(key)) return &object_.at(key);
  if (object_.is_object()) AddError(key, "is missing");
  return nullptr;
}

std::string object_reader::ReadString(const std::string& key,
                                      std::size_t max_bytes) {
  const json* value = FindRequired(key);
  if (value == nullptr) return "";
  if (!value->is_string()) {
    AddError(key, "is not a string");
    return "";
  }
  auto text = value->get<std::string>();
  if (text.empty() || text.size() > max_bytes) {
    AddError(key, "is not 1 to " + std::to_string(max_bytes) + " bytes long");
    return "";
  }
  if (std::any_of(text.begin(), text.end(), IsControlCharacter)) {
    AddError(key, "contains a control character");
    return "";
  }
  return text;
}

std::uint64_t object_reader::ReadUnsigned(const std::string& key,
                                          const number_range& range) {
  const json* value = FindRequired(key);
  if (value == nullptr) return range.low;
  if (!value->is_number_unsigned()) {
    AddError(key, "is not a whole number of at least 0");
    return range.low;
  }
  const auto number = value->get<std::uint64_t>();
  if (number < range.low || number > range.high) {
    AddError(key, "is not within " + std::to_string(range.low) + " to " +
                      std::to_string(range.high));
    return range.low;
  }
  return number;
}

double object_reader::ReadNonNegative(const std::string& key) {
  const json* value = FindRequired(key);
  if (value == nullptr) return 0;
  if (!value->is_number() || value->get<double>() < 0) {
    AddError(key, "is not a number of at least 0");
    return 0;
  }
  return value->get<double>();
}

bool object_reader::ReadBool(const std::string& key) {
  const json* value = FindRequired(key);
  if (value == nullptr) return false;
  if (!value->is_boolean()) AddError(key, "is not true or false");
  return value->is_boolean() && value->get<bool>();
}

const json* object_reader::ReadArray(const std::string& key) {
  const json* value = FindRequired(key);
  if (value == nullptr) return nullptr;
  if (value->is_array()) return value;
  AddError(key, "is not a list");
  return nullptr;
}

std::string object_reader::ItemPath(const std::string& key,
                                    std::size_t index) const {
  return PathOf(key) + "[" + std::to_string(index) + "]";
}

void object_reader::ReportUnknownKeys() const {
  if (!object_.is_object()) return;
  for (const auto& [key, value] : object_.items()) {
    if (!requested_keys_.contains(key)) AddError(key, "is unknown");
  }
}

}  // namespace lavendertack
