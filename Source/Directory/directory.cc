#include "Directory/directory.h"

#include <glog/logging.h>

#include <set>

#include "Common/hash.h"

namespace lavendertack {
namespace {

template <typename Map>
const typename Map::mapped_type* Find(const Map& map,
                                      const typename Map::key_type& name) {
  auto it = map.find(name);
  return it == map.end() ? nullptr : &it->second;
}

template <typename Spec, typename Name>
void Replace(std::map<Name, Spec>* objects, const Spec& spec) {
  (*objects)[spec.name] = spec;
}

}  // namespace

ticket_verdict directory::Check(const change_ticket& ticket) const {
  if (auto it = accepted_.find(ticket.number); it != accepted_.end()) {
    const std::uint64_t digest = StableHash(EncodeTicket(ticket));
    if (it->second.digest == digest) return ticket_accepted{it->second.index};
    return ticket_conflict{ticket.number, it->second.index};
  }
  if (ticket.number <= newest()) return ticket_outdated{newest()};
  if (auto error = CheckReferences(ticket)) return ticket_invalid{*error};
  return ticket_accepted{log_index{applied_.value + 1}};
}

ticket_verdict directory::Apply(log_index index, const change_ticket& ticket) {
  CHECK_EQ(index.value, applied_.value + 1) << "entries are applied in order";
  ticket_verdict verdict = Check(ticket);
  const auto* accepted = std::get_if<ticket_accepted>(&verdict);
  applied_ = index;
  if (accepted == nullptr || accepted->index != index) return verdict;
  std::string encoded = EncodeTicket(ticket);
  const std::uint64_t digest = StableHash(encoded);
  accepted_[ticket.number] = {digest, index, std::move(encoded)};
  for (const service_spec& spec : ticket.services) {
    if (spec.removed) {
      services_.erase(spec.name);
    } else {
      Replace(&services_, spec);
    }
  }
  for (const class_spec& spec : ticket.classes) {
    if (spec.removed) {
      classes_.erase(spec.name);
    } else {
      Replace(&classes_, spec);
    }
  }
  for (const data_centre_spec& spec : ticket.data_centres) {
    Replace(&data_centres_, spec);
  }
  return verdict;
}

void directory::Skip(log_index index) {
  CHECK_EQ(index.value, applied_.value + 1) << "entries are applied in order";
  applied_ = index;
}

ticket_number directory::newest() const {
  return accepted_.empty() ? ticket_number{} : accepted_.rbegin()->first;
}

const service_spec* directory::FindService(const service_name& name) const {
  return Find(services_, name);
}

const class_spec* directory::FindClass(const class_name& name) const {
  return Find(classes_, name);
}

const data_centre_spec* directory::FindDataCentre(
    const data_centre_name& name) const {
  return Find(data_centres_, name);
}

bool directory::IsOut(const data_centre_name& name) const {
  const data_centre_spec* spec = FindDataCentre(name);
  return spec != nullptr && spec->out;
}

std::optional<ticket_error> directory::CheckReferences(
    const change_ticket& ticket) const {
  std::set<class_name> classes;
  for (const auto& [name, spec] : classes_) classes.insert(name);
  for (std::size_t i = 0; i < ticket.classes.size(); ++i) {
    const class_spec& spec = ticket.classes[i];
    if (!spec.removed) {
      classes.insert(spec.name);
    } else if (classes.erase(spec.name) == 0) {
      return ticket_error{"classes", "unknown class " + spec.name.value};
    }
  }
  std::map<service_name, service_spec> services = services_;
  for (const service_spec& spec : ticket.services) {
    if (!spec.removed) {
      services[spec.name] = spec;
    } else if (services.erase(spec.name) == 0) {
      return ticket_error{"services", "unknown service " + spec.name.value};
    }
  }
  for (const auto& [name, spec] : services) {
    for (const class_name& used : spec.classes) {
      if (classes.contains(used)) continue;
      return ticket_error{"services." + name.value + ".classes",
                          "unknown class " + used.value};
    }
  }
  return std::nullopt;
}

}  // namespace lavendertack
