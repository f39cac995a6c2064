#include "Directory/ticket.h"

#include <algorithm>

#include "Json/object_reader.h"
#include "Wire/lavendertack.pb.h"

namespace lavendertack {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 64;
constexpr number_range kPriceRange{0, 1'000'000};
constexpr number_range kFlowIdleSecondsRange{1, 86'400};

void ParseClassNames(const json& list, object_reader* reader,
                     service_spec* service) {
  for (const json& name : list) {
    if (!name.is_string()) {
      reader->AddError("classes", "must contain only strings");
      return;
    }
    service->classes.push_back({name.get<std::string>()});
  }
  if (service->classes.empty()) reader->AddError("classes", "is empty");
}

service_spec ParseService(const json& object, const std::string& path,
                          std::vector<json_error>* errors) {
  object_reader reader(object, path, errors);
  service_spec service{.name = {reader.ReadString("name", kMaxNameBytes)}};
  if (reader.HasKey("removed")) {
    service.removed = reader.ReadBool("removed");
  }
  if (!service.removed) {
    service.flow_idle =
        seconds(reader.ReadUnsigned("flow_idle_s", kFlowIdleSecondsRange));
    if (const json* classes = reader.ReadArray("classes")) {
      ParseClassNames(*classes, &reader, &service);
    }
  }
  std::sort(service.classes.begin(), service.classes.end());
  reader.ReportUnknownKeys();
  return service;
}

class_spec ParseClass(const json& object, const std::string& path,
                      std::vector<json_error>* errors) {
  object_reader reader(object, path, errors);
  class_spec spec{.name = {reader.ReadString("name", kMaxNameBytes)},
                  .price = {}};
  if (reader.HasKey("removed")) spec.removed = reader.ReadBool("removed");
  if (!spec.removed) {
    spec.price = {
        static_cast<std::uint32_t>(reader.ReadUnsigned("price", kPriceRange))};
  }
  reader.ReportUnknownKeys();
  return spec;
}

data_centre_spec ParseDataCentre(const json& object, const std::string& path,
                                 std::vector<json_error>* errors) {
  object_reader reader(object, path, errors);
  data_centre_spec spec{.name = {reader.ReadString("name", kMaxNameBytes)}};
  spec.out = reader.ReadBool("out");
  reader.ReportUnknownKeys();
  return spec;
}

template <typename Spec, typename Parse>
std::vector<Spec> ParseList(object_reader* reader, const std::string& key,
                            Parse parse, std::vector<json_error>* errors) {
  std::vector<Spec> specs;
  if (!reader->HasKey(key)) return specs;
  const json* list = reader->ReadArray(key);
  if (list == nullptr) return specs;
  for (std::size_t i = 0; i < list->size(); ++i) {
    specs.push_back(parse((*list)[i], reader->ItemPath(key, i), errors));
  }
  std::sort(specs.begin(), specs.end(),
            [](const Spec& a, const Spec& b) { return a.name < b.name; });
  for (std::size_t i = 1; i < specs.size(); ++i) {
    if (specs[i].name == specs[i - 1].name) {
      reader->AddError(key,
                       "contains " + specs[i].name.value + " more than once");
    }
  }
  return specs;
}

std::vector<ticket_error> TicketErrors(const std::vector<json_error>& errors) {
  std::vector<ticket_error> result;
  result.reserve(errors.size());
  for (const auto& [path, reason] : errors) result.push_back({path, reason});
  return result;
}

}  // namespace

std::variant<change_ticket, std::vector<ticket_error>> ParseTicket(
    std::string_view text) {
  std::vector<json_error> errors;
  const auto document = ParseDocument(text, &errors);
  if (!document) return TicketErrors(errors);
  object_reader reader(*document, "", &errors);
  if (!errors.empty()) return TicketErrors(errors);
  change_ticket ticket;
  ticket.number = {reader.ReadUnsigned("number", {1, UINT64_MAX})};
  ticket.services =
      ParseList<service_spec>(&reader, "services", ParseService, &errors);
  ticket.classes =
      ParseList<class_spec>(&reader, "classes", ParseClass, &errors);
  ticket.data_centres = ParseList<data_centre_spec>(&reader, "data_centres",
                                                    ParseDataCentre, &errors);
  reader.ReportUnknownKeys();
  if (ticket.services.empty() && ticket.classes.empty() &&
      ticket.data_centres.empty() && errors.empty()) {
    errors.push_back({"", "must change at least one object"});
  }
  if (!errors.empty()) return TicketErrors(errors);
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
