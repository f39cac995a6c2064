#include "Directory/log_entry.h"

#include "Wire/lavendertack.pb.h"

namespace lavendertack {

std::optional<log_entry> DecodeEntry(std::string_view bytes) {
  wire::log_entry entry;
  if (!entry.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  if (entry.has_ticket()) {
    auto ticket = DecodeTicket(bytes);
    if (std::holds_alternative<ticket_error>(ticket)) return std::nullopt;
    return std::get<change_ticket>(std::move(ticket));
  }
  if (entry.has_roster()) {
    roster_change change{.data_centre = {entry.roster().data_centre()},
                         .instances = {},
                         .based_on = {entry.roster().based_on()}};
    for (const std::string& name : entry.roster().instances()) {
      change.instances.push_back({name});
    }
    return change;
  }
  if (entry.has_replicas()) {
    const wire::replica_change& change = entry.replicas();
    return replica_change{.removed = {change.removed()},
                          .removed_storage = {change.removed_storage()},
                          .added = {change.added()},
                          .added_storage = {change.added_storage()}};
  }
  if (entry.has_founding()) {
    bootstrap_entry bootstrap;
    for (const wire::replica& replica : entry.founding().replicas()) {
      bootstrap.replicas[{replica.name()}] = {replica.storage_id()};
    }
    for (const std::string& name : entry.founding().data_centres()) {
      bootstrap.data_centres.push_back({name});
    }
    return bootstrap;
  }
  return std::nullopt;
}

std::string EncodeEntry(const roster_change& change) {
  wire::log_entry entry;
  auto* roster = entry.mutable_roster();
  roster->set_data_centre(change.data_centre.value);
  for (const instance_name& name : change.instances) {
    roster->add_instances(name.value);
  }
  roster->set_based_on(change.based_on.value);
  return entry.SerializeAsString();
}

std::string EncodeEntry(const replica_change& change) {
  wire::log_entry entry;
  auto* replicas = entry.mutable_replicas();
  replicas->set_removed(change.removed.value);
  replicas->set_removed_storage(change.removed_storage.value);
  replicas->set_added(change.added.value);
  replicas->set_added_storage(change.added_storage.value);
  return entry.SerializeAsString();
}

std::string EncodeEntry(const bootstrap_entry& bootstrap) {
  wire::log_entry entry;
  for (const auto& [name, storage] : bootstrap.replicas) {
    auto* replica = entry.mutable_founding()->add_replicas();
    replica->set_name(name.value);
    replica->set_storage_id(storage.value);
  }
  for (const data_centre_name& name : bootstrap.data_centres) {
    entry.mutable_founding()->add_data_centres(name.value);
  }
  return entry.SerializeAsString();
}

}  // namespace lavendertack
