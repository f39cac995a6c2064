#include "Directory/ticket.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "Wire/lavendertack.pb.h"

namespace lavendertack {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint32_t kMaxPrice = 1'000'000;
constexpr std::uint32_t kMaxFlowIdleS = 86'400;

// Reads one JSON object, remembering every error with its path.
class object_reader {
 public:
  object_reader(const json& object, std::string path,
                std::vector<ticket_error>* errors)
      : object_(object), path_(std::move(path)), errors_(errors) {
    if (!object_.is_object()) Fail("", "is not an object");
  }

  void Fail(const std::string& key, std::string reason) const {
    const std::string dot = path_.empty() || key.empty() ? "" : ".";
    errors_->push_back({path_ + dot + key, std::move(reason)});
  }

  // The value at `key`, or null after noting that it is missing.
  const json* Get(const std::string& key) {
    known_.insert(key);
    if (!object_.is_object()) return nullptr;
    if (auto it = object_.find(key); it != object_.end()) return &*it;
    Fail(key, "is missing; a ticket carries the whole new state");
    return nullptr;
  }

  bool Has(const std::string& key) {
    known_.insert(key);
    return object_.is_object() && object_.contains(key);
  }

  std::string Name(const std::string& key) {
    const json* value = Get(key);
    if (value == nullptr) return "";
    if (!value->is_string()) {
      Fail(key, "is not a string");
      return "";
    }
    auto name = value->get<std::string>();
    if (name.empty() || name.size() > kMaxNameBytes) {
      Fail(key, "is not 1 to 64 bytes long");
    }
    return name;
  }

  std::uint64_t Number(const std::string& key, std::uint64_t low,
                       std::uint64_t high) {
    const json* value = Get(key);
    if (value == nullptr) return low;
    if (!value->is_number_unsigned()) {
      Fail(key, "is not a whole number");
      return low;
    }
    const auto number = value->get<std::uint64_t>();
    if (number < low || number > high) {
      Fail(key, "is not within " + std::to_string(low) + " to " +
                    std::to_string(high));
      return low;
    }
    return number;
  }

  bool Bool(const std::string& key) {
    const json* value = Get(key);
    if (value == nullptr) return false;
    if (!value->is_boolean()) {
      Fail(key, "is not true or false");
      return false;
    }
    return value->get<bool>();
  }

  // Notes every key that no call asked for.
  void FinishKeys() const {
    if (!object_.is_object()) return;
    for (const auto& [key, value] : object_.items()) {
      if (!known_.contains(key)) Fail(key, "is unknown");
    }
  }

 private:
  const json& object_;
  std::string path_;
  std::vector<ticket_error>* errors_;
  std::set<std::string> known_;
};

service_spec ParseService(const json& object, const std::string& path,
                          std::vector<ticket_error>* errors) {
  object_reader reader(object, path, errors);
  service_spec service{.name = {reader.Name("name")}};
  if (reader.Has("removed")) {
    service.removed = reader.Bool("removed");
  }
  if (!service.removed) {
    service.flow_idle = seconds(reader.Number("flow_idle_s", 1, kMaxFlowIdleS));
    const json* classes = reader.Get("classes");
    if (classes != nullptr && !classes->is_array()) {
      reader.Fail("classes", "is not a list");
    } else if (classes != nullptr) {
      for (const json& name : *classes) {
        if (!name.is_string()) {
          reader.Fail("classes", "holds something else than names");
          break;
        }
        service.classes.push_back({name.get<std::string>()});
      }
      if (service.classes.empty()) reader.Fail("classes", "is empty");
    }
  }
  std::sort(service.classes.begin(), service.classes.end());
  reader.FinishKeys();
  return service;
}

class_spec ParseClass(const json& object, const std::string& path,
                      std::vector<ticket_error>* errors) {
  object_reader reader(object, path, errors);
  class_spec spec{.name = {reader.Name("name")}, .price = {}};
  if (reader.Has("removed")) spec.removed = reader.Bool("removed");
  if (!spec.removed) {
    spec.price = {
        static_cast<std::uint32_t>(reader.Number("price", 0, kMaxPrice))};
  }
  reader.FinishKeys();
  return spec;
}

data_centre_spec ParseDataCentre(const json& object, const std::string& path,
                                 std::vector<ticket_error>* errors) {
  object_reader reader(object, path, errors);
  data_centre_spec spec{.name = {reader.Name("name")}};
  spec.out = reader.Bool("out");
  reader.FinishKeys();
  return spec;
}

template <typename Spec, typename Parse>
std::vector<Spec> ParseList(object_reader* reader, const json& ticket,
                            const std::string& key, Parse parse,
                            std::vector<ticket_error>* errors) {
  std::vector<Spec> specs;
  if (!reader->Has(key)) return specs;
  const json& list = ticket.at(key);
  if (!list.is_array()) {
    reader->Fail(key, "is not a list");
    return specs;
  }
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string path = key + "[" + std::to_string(i) + "]";
    specs.push_back(parse(list[i], path, errors));
  }
  std::sort(specs.begin(), specs.end(),
            [](const Spec& a, const Spec& b) { return a.name < b.name; });
  for (std::size_t i = 1; i < specs.size(); ++i) {
    if (specs[i].name == specs[i - 1].name) {
      reader->Fail(key, "names " + specs[i].name.value + " twice");
    }
  }
  return specs;
}

}  // namespace

std::variant<change_ticket, std::vector<ticket_error>> ParseTicket(
    std::string_view text) {
  std::vector<ticket_error> errors;
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    errors.push_back({"", "is not valid JSON"});
    return errors;
  }
  object_reader reader(document, "", &errors);
  if (!errors.empty()) return errors;
  change_ticket ticket;
  ticket.number = {reader.Number("number", 1, UINT64_MAX)};
  ticket.services = ParseList<service_spec>(&reader, document, "services",
                                            ParseService, &errors);
  ticket.classes =
      ParseList<class_spec>(&reader, document, "classes", ParseClass, &errors);
  ticket.data_centres = ParseList<data_centre_spec>(
      &reader, document, "data_centres", ParseDataCentre, &errors);
  reader.FinishKeys();
  if (ticket.services.empty() && ticket.classes.empty() &&
      ticket.data_centres.empty() && errors.empty()) {
    errors.push_back({"", "touches nothing"});
  }
  if (!errors.empty()) return errors;
  return ticket;
}

std::string EncodeTicket(const change_ticket& ticket) {
  wire::log_entry entry;
  auto* message = entry.mutable_ticket();
  message->set_number(ticket.number.value);
  for (const service_spec& service : ticket.services) {
    auto* out = message->add_services();
    out->set_name(service.name.value);
    for (const class_name& name : service.classes) {
      out->add_classes(name.value);
    }
    out->set_flow_idle_s(static_cast<std::uint32_t>(service.flow_idle.count()));
    out->set_removed(service.removed);
  }
  for (const class_spec& spec : ticket.classes) {
    auto* out = message->add_classes();
    out->set_name(spec.name.value);
    out->set_price(spec.price.value);
    out->set_removed(spec.removed);
  }
  for (const data_centre_spec& spec : ticket.data_centres) {
    auto* out = message->add_data_centres();
    out->set_name(spec.name.value);
    out->set_out(spec.out);
  }
  return entry.SerializeAsString();
}

std::variant<change_ticket, ticket_error> DecodeTicket(std::string_view bytes) {
  wire::log_entry entry;
  if (!entry.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      !entry.has_ticket()) {
    return ticket_error{"", "is not an encoded ticket"};
  }
  const wire::change_ticket& message = entry.ticket();
  change_ticket ticket{.number = {message.number()}};
  for (const auto& service : message.services()) {
    service_spec spec{.name = {service.name()},
                      .flow_idle = seconds(service.flow_idle_s()),
                      .removed = service.removed()};
    for (const auto& name : service.classes()) spec.classes.push_back({name});
    ticket.services.push_back(std::move(spec));
  }
  for (const auto& spec : message.classes()) {
    ticket.classes.push_back({{spec.name()}, {spec.price()}, spec.removed()});
  }
  for (const auto& spec : message.data_centres()) {
    ticket.data_centres.push_back({{spec.name()}, spec.out()});
  }
  return ticket;
}

}  // namespace lavendertack
