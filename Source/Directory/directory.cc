#include "Directory/directory.h"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>

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

ticket_result directory::Check(const change_ticket& ticket) const {
  if (auto it = accepted_.find(ticket.number); it != accepted_.end()) {
    if (it->second.content == StableDigest(EncodeTicket(ticket))) {
      return ticket_accepted{it->second.index};
    }
    return ticket_conflict{ticket.number, it->second.index};
  }
  if (ticket.number <= newest()) return ticket_outdated{newest()};
  if (auto error = CheckReferences(ticket)) return ticket_invalid{*error};
  return ticket_accepted{log_index{applied_.value + 1}};
}

ticket_result directory::Apply(log_index index, const change_ticket& ticket) {
  CHECK_EQ(index.value, applied_.value + 1)
      << "log entries must be applied in order";
  ticket_result result = Check(ticket);
  const auto* accepted = std::get_if<ticket_accepted>(&result);
  applied_ = index;
  if (accepted == nullptr || accepted->index != index) return result;
  RecordAccepted(ticket, index);
  ApplyObjects(ticket);
  return result;
}

void directory::RecordAccepted(const change_ticket& ticket, log_index index) {
  std::string encoded = EncodeTicket(ticket);
  const digest content = StableDigest(encoded);
  accepted_[ticket.number] = {content, index, std::move(encoded)};
  if (accepted_.size() > kMaxAcceptedTickets) {
    accepted_.erase(accepted_.begin());
  }
  if (accepted_.size() <= kMaxEncodedTickets) return;
  auto& oldest_encoded =
      std::prev(accepted_.end(), kMaxEncodedTickets + 1)->second;
  oldest_encoded.encoded.clear();
  oldest_encoded.encoded.shrink_to_fit();
}

void directory::ApplyObjects(const change_ticket& ticket) {
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
}

replica_change_result directory::Check(const replica_change& change) const {
  const bool adds = !change.added.value.empty();
  const bool removes = !change.removed.value.empty();
  if (!adds && !removes) return replicas_refused{"no instance given"};
  replica_set changed = replicas_;
  if (removes && change.removed != change.added) changed.erase(change.removed);
  if (adds) changed[change.added] = change.added_storage;
  if (changed == replicas_) return replicas_unchanged{};
  if (removes && !IsVoter(replicas_, change.removed, change.removed_storage)) {
    return replicas_refused{change.removed.value +
                            " is not a replica with this storage id"};
  }
  if (adds && change.added_storage.value == 0) {
    return replicas_refused{"the storage id of " + change.added.value +
                            " is unknown"};
  }
  if (adds && change.added != change.removed &&
      replicas_.contains(change.added)) {
    return replicas_refused{change.added.value + " is already a replica"};
  }
  if (changed.size() < std::min(kMinVoters, replicas_.size())) {
    return replicas_refused{"fewer than 3 replicas would be left"};
  }
  if (changed.size() > kMaxVoters) {
    return replicas_refused{"more than 7 replicas would result"};
  }
  return replicas_changed{};
}

replica_change_result directory::Apply(log_index index,
                                       const replica_change& change) {
  AdvanceApplied(index);
  replica_change_result result = Check(change);
  if (!std::holds_alternative<replicas_changed>(result)) return result;
  if (change.removed != change.added) replicas_.erase(change.removed);
  if (!change.added.value.empty()) {
    replicas_[change.added] = change.added_storage;
  }
  return result;
}

void directory::Apply(log_index index, const bootstrap_entry& bootstrap) {
  CHECK_EQ(index.value, 1) << "the bootstrap entry must be the first entry";
  AdvanceApplied(index);
  replicas_ = bootstrap.replicas;
  for (const data_centre_name& name : bootstrap.data_centres) {
    AddDataCentre(name);
  }
}

void directory::AddDataCentre(const data_centre_name& name) {
  known_data_centres_.insert(name);
}

wire::directory_state directory::Save() const {
  wire::directory_state state;
  state.set_applied(applied_.value);
  for (const auto& [number, ticket] : accepted_) {
    auto* row = state.add_accepted();
    row->set_number(number.value);
    row->set_digest_high(ticket.content.high);
    row->set_digest_low(ticket.content.low);
    row->set_index(ticket.index.value);
    row->set_encoded(ticket.encoded);
  }
  change_ticket objects;
  for (const auto& [name, spec] : services_) objects.services.push_back(spec);
  for (const auto& [name, spec] : classes_) objects.classes.push_back(spec);
  for (const auto& [name, spec] : data_centres_) {
    objects.data_centres.push_back(spec);
  }
  state.set_objects(EncodeTicket(objects));
  for (const auto& [name, storage] : replicas_) {
    auto* replica = state.add_replicas();
    replica->set_name(name.value);
    replica->set_storage_id(storage.value);
  }
  for (const data_centre_name& name : known_data_centres_) {
    state.add_data_centres(name.value);
  }
  return state;
}

void directory::Load(const wire::directory_state& state) {
  CHECK_GE(state.applied(), applied_.value)
      << "the snapshot is older than the applied state";
  const auto objects = DecodeTicket(state.objects());
  CHECK(std::holds_alternative<change_ticket>(objects))
      << "the objects of the snapshot can't be decoded";
  *this = directory();
  applied_ = {state.applied()};
  for (const wire::accepted_row& row : state.accepted()) {
    accepted_[{row.number()}] = {
        .content = {.high = row.digest_high(), .low = row.digest_low()},
        .index = {row.index()},
        .encoded = row.encoded()};
  }
  ApplyObjects(std::get<change_ticket>(objects));
  for (const wire::replica& replica : state.replicas()) {
    replicas_[{replica.name()}] = {replica.storage_id()};
  }
  for (const std::string& name : state.data_centres()) AddDataCentre({name});
}

void directory::AdvanceApplied(log_index index) {
  CHECK_EQ(index.value, applied_.value + 1)
      << "log entries must be applied in order";
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

bool directory::IsOutOfService(const data_centre_name& name) const {
  const data_centre_spec* spec = FindDataCentre(name);
  return spec != nullptr && spec->out;
}

std::optional<ticket_error> directory::CheckReferences(
    const change_ticket& ticket) const {
  for (const data_centre_spec& spec : ticket.data_centres) {
    if (known_data_centres_.contains(spec.name)) continue;
    return ticket_error{"data_centres",
                        "unknown data centre " + spec.name.value};
  }
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
