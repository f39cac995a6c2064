#include "Config/settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace lavendertack {
namespace {

using nlohmann::json;

class reader {
 public:
  reader(const json& object, std::string path,
         std::vector<settings_error>* errors)
      : object_(object), path_(std::move(path)), errors_(errors) {
    if (!object_.is_object()) Fail("", "is not an object");
  }

  void Fail(const std::string& key, std::string reason) const {
    const std::string dot = path_.empty() || key.empty() ? "" : ".";
    errors_->push_back({path_ + dot + key, std::move(reason)});
  }

  const json* Find(const std::string& key) {
    known_.insert(key);
    if (!object_.is_object() || !object_.contains(key)) return nullptr;
    return &object_.at(key);
  }

  std::string String(const std::string& key, bool required = true) {
    const json* value = Find(key);
    if (value == nullptr) {
      if (required) Fail(key, "is missing");
      return "";
    }
    if (!value->is_string() || value->get<std::string>().empty()) {
      Fail(key, "is not a string with content");
      return "";
    }
    return value->get<std::string>();
  }

  bool Bool(const std::string& key) {
    const json* value = Find(key);
    if (value == nullptr) return false;
    if (!value->is_boolean()) Fail(key, "is not true or false");
    return value->is_boolean() && value->get<bool>();
  }

  endpoint Endpoint(const std::string& key) {
    const std::string text = String(key);
    if (text.empty()) return {};
    const auto colon = text.rfind(':');
    const std::string port =
        colon == std::string::npos ? "" : text.substr(colon + 1);
    const bool digits = !port.empty() && port.size() <= 5 &&
                        std::all_of(port.begin(), port.end(), [](char c) {
                          return c >= '0' && c <= '9';
                        });
    if (!digits || std::stoul(port) == 0 || std::stoul(port) > 65535) {
      Fail(key, "is not an address of the form ip:port");
      return {};
    }
    return {text.substr(0, colon),
            static_cast<std::uint16_t>(std::stoul(port))};
  }

  void FinishKeys() const {
    if (!object_.is_object()) return;
    for (const auto& [key, value] : object_.items()) {
      if (!known_.contains(key)) Fail(key, "is unknown");
    }
  }

 private:
  const json& object_;
  std::string path_;
  std::vector<settings_error>* errors_;
  std::set<std::string> known_;
};

std::vector<instance_settings> ParseInstances(
    const json& list, std::vector<settings_error>* errors) {
  std::vector<instance_settings> instances;
  for (std::size_t i = 0; i < list.size(); ++i) {
    reader r(list[i], "instances[" + std::to_string(i) + "]", errors);
    instance_settings instance;
    instance.name = {r.String("name")};
    instance.data_centre = {r.String("data_centre")};
    instance.peer_address = r.Endpoint("peer_address");
    instance.replica = r.Bool("replica");
    r.FinishKeys();
    instances.push_back(std::move(instance));
  }
  return instances;
}

}  // namespace

std::string ToString(const endpoint& e) {
  return e.ip + ":" + std::to_string(e.port);
}

std::variant<settings, std::vector<settings_error>> ParseSettings(
    std::string_view text) {
  std::vector<settings_error> errors;
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    errors.push_back({"", "is not valid JSON"});
    return errors;
  }
  reader r(document, "", &errors);
  settings result;
  result.deployment = r.String("deployment");
  result.instance = {r.String("instance")};
  result.caller_address = r.Endpoint("caller_address");
  result.target_address = r.Endpoint("target_address");
  result.admin_address = r.Endpoint("admin_address");
  result.data_folder = r.String("data_folder", /*required=*/false);
  const json* instances = r.Find("instances");
  if (instances == nullptr || !instances->is_array()) {
    r.Fail("instances", "is missing or not a list");
  } else {
    result.instances = ParseInstances(*instances, &errors);
  }
  r.FinishKeys();
  auto self = std::find_if(
      result.instances.begin(), result.instances.end(),
      [&](const instance_settings& i) { return i.name == result.instance; });
  if (self == result.instances.end()) {
    r.Fail("instance", "is not among instances");
  } else if (self->replica && result.data_folder.empty()) {
    r.Fail("data_folder", "is missing; a replica needs one");
  }
  if (!errors.empty()) return errors;
  return result;
}

}  // namespace lavendertack
