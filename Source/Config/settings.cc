#include "Config/settings.h"

#include <arpa/inet.h>
#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>

#include "Config/setting_keys.h"
#include "Json/object_reader.h"

namespace lavendertack {
namespace {

using nlohmann::json;

std::optional<endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  endpoint result{text.substr(0, colon), 0};
  in_addr address{};
  if (inet_pton(AF_INET, result.ip.c_str(), &address) != 1) return std::nullopt;
  const char* end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data() + colon + 1, end, result.port);
  if (error != std::errc() || rest != end || result.port == 0) {
    return std::nullopt;
  }
  return result;
}

// Parses the value of one key into a member; overloaded by the member's type.
class member_reader {
 public:
  member_reader(object_reader* reader, std::string key, number_range range)
      : reader_(reader), key_(std::move(key)), range_(range) {}

  void Read(std::string* out) const {
    *out = reader_->ReadString(key_, kMaxSettingBytes);
  }
  template <typename Tag>
  void Read(strong_type<Tag, std::string>* out) const {
    Read(&out->value);
  }
  void Read(endpoint* out) const {
    const std::string text = reader_->ReadString(key_, kMaxSettingBytes);
    if (text.empty()) return;
    if (auto parsed = ParseEndpoint(text)) {
      *out = *parsed;
    } else {
      reader_->AddError(
          key_, "is not an IPv4 address and port such as 127.0.0.1:7000");
    }
  }
  void Read(bool* out) const { *out = reader_->ReadBool(key_); }
  void Read(std::uint32_t* out) const {
    *out = static_cast<std::uint32_t>(reader_->ReadUnsigned(key_, range_));
  }
  void Read(milliseconds* out) const {
    *out = milliseconds(reader_->ReadUnsigned(key_, range_));
  }

 private:
  object_reader* reader_;
  std::string key_;
  number_range range_;
};

template <typename Object>
void ReadKeys(const std::vector<setting_key<Object>>& keys,
              object_reader* reader, Object* object) {
  for (const setting_key<Object>& key : keys) {
    const std::string name(key.name);
    if (!key.required && !reader->HasKey(name)) continue;
    const member_reader value(reader, name, key.range);
    std::visit([&](auto member) { value.Read(&(object->*member)); },
               key.member);
  }
}

std::vector<instance_settings> ReadInstances(object_reader* reader,
                                             std::vector<json_error>* errors) {
  std::vector<instance_settings> instances;
  const json* list = reader->ReadArray("instances");
  if (list == nullptr) return instances;
  if (list->empty() || list->size() > kMaxInstances) {
    reader->AddError("instances", "doesn't have a length of 1 to " +
                                      std::to_string(kMaxInstances));
    return instances;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    object_reader item((*list)[i], reader->ItemPath("instances", i), errors);
    instance_settings instance;
    ReadKeys(InstanceKeys(), &item, &instance);
    item.ReportUnknownKeys();
    instances.push_back(std::move(instance));
  }
  return instances;
}

// Adds an error for each value that was already added under another path. Skips
// empty values, which the parser has reported.
class uniqueness_checker {
 public:
  explicit uniqueness_checker(std::vector<json_error>* errors)
      : errors_(errors) {}

  void Add(const std::string& path, const std::string& value) {
    if (value.empty()) return;
    const auto [it, added] = paths_.emplace(value, path);
    if (!added) {
      errors_->push_back({path, "repeats " + value + " of " + it->second});
    }
  }
  void Add(const std::string& path, const endpoint& address) {
    if (address.port != 0) Add(path, ToString(address));
  }

 private:
  std::vector<json_error>* errors_;
  std::map<std::string, std::string> paths_;
};

void CheckUnique(const settings& s, std::vector<json_error>* errors) {
  uniqueness_checker names(errors);
  // TCP addresses only: caller_address is a UDP one, which can't clash with
  // them.
  uniqueness_checker addresses(errors);
  for (std::size_t i = 0; i < s.instances.size(); ++i) {
    const std::string path = "instances[" + std::to_string(i) + "].";
    names.Add(path + "name", s.instances[i].name.value);
    addresses.Add(path + "peer_address", s.instances[i].peer_address);
  }
  addresses.Add("target_address", s.target_address);
  addresses.Add("admin_address", s.admin_address);
}

std::ptrdiff_t CountReplicas(const settings& s) {
  return std::count_if(s.instances.begin(), s.instances.end(),
                       [](const instance_settings& i) { return i.replica; });
}

auto FindLocalInstance(const settings& s) {
  return std::find_if(
      s.instances.begin(), s.instances.end(),
      [&](const instance_settings& i) { return i.name == s.instance; });
}

void CheckReplicas(const settings& s, std::vector<json_error>* errors) {
  if (s.instances.empty()) return;
  if (CountReplicas(s) == 0) {
    errors->push_back(
        {"instances", "name no replica; no ticket could be accepted"});
  }
  const auto local = FindLocalInstance(s);
  if (local == s.instances.end()) {
    errors->push_back({"instance", "is not the name of an item of instances"});
  } else if (local->replica && s.data_folder.empty()) {
    errors->push_back({"data_folder", "is missing; a replica needs one"});
  }
}

void CheckAdminAddress(const settings& s, std::vector<json_error>* errors) {
  if (s.admin_address.port == 0 || IsLoopback(s.admin_address)) return;
  if (!s.admin_beyond_loopback) {
    errors->push_back({"admin_address",
                       "is not on loopback; set admin_beyond_loopback to "
                       "allow it"});
  }
}

std::vector<settings_error> ToSettingsErrors(
    const std::vector<json_error>& errors) {
  std::vector<settings_error> result;
  result.reserve(errors.size());
  for (const auto& [path, reason] : errors) result.push_back({path, reason});
  return result;
}

}  // namespace

std::string ToString(const endpoint& e) {
  return e.ip + ":" + std::to_string(e.port);
}

bool IsLoopback(const endpoint& e) { return e.ip.rfind("127.", 0) == 0; }

std::variant<settings, std::vector<settings_error>> ParseSettings(
    std::string_view text) {
  std::vector<json_error> errors;
  const auto document = ParseDocument(text, &errors);
  if (!document) return ToSettingsErrors(errors);
  object_reader reader(*document, "", &errors);
  if (!errors.empty()) return ToSettingsErrors(errors);
  settings result;
  ReadKeys(SettingKeys(), &reader, &result);
  result.instances = ReadInstances(&reader, &errors);
  reader.ReportUnknownKeys();
  CheckUnique(result, &errors);
  CheckReplicas(result, &errors);
  CheckAdminAddress(result, &errors);
  if (!errors.empty()) return ToSettingsErrors(errors);
  return result;
}

std::vector<settings_error> SettingsWarnings(const settings& valid_settings) {
  std::vector<settings_error> warnings;
  const auto replicas = CountReplicas(valid_settings);
  if (replicas % 2 == 0) {
    warnings.push_back({"instances", "name " + std::to_string(replicas) +
                                         " replicas, which tolerate no more "
                                         "failures than " +
                                         std::to_string(replicas - 1)});
  }
  if (replicas == 1) {
    warnings.push_back(
        {"instances",
         "name 1 replica; no ticket is accepted while it is down"});
  }
  if (valid_settings.admin_token_file.empty()) {
    warnings.push_back({"admin_token_file",
                        "is missing; this instance refuses tickets sent to "
                        "its administration API"});
  }
  return warnings;
}

const instance_settings& LocalInstance(const settings& valid_settings) {
  const auto local = FindLocalInstance(valid_settings);
  CHECK(local != valid_settings.instances.end())
      << "the settings weren't validated: instance is not one of instances";
  return *local;
}

}  // namespace lavendertack
