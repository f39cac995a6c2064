#include "Manifest/published_state.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {
namespace {

// Maximum number of removed routes in the change history, which serves
// followers that lag behind. Beyond it the history is cleared, and each
// follower receives the complete set of routes once.
constexpr std::size_t kMaxRemovedRoutes = 8192;

// Decodes an entry of the agreed log. A failure is fatal, because every entry
// was encoded by an instance of the same cluster.
wire::published_entry Decode(const std::string& entry) {
  wire::published_entry decoded;
  CHECK(decoded.ParseFromString(entry))
      << "cannot parse an entry of the agreed log";
  return decoded;
}

// Whether the change can be applied to `voters`: the instance to be removed is
// a voter with the given storage id, and the instance to be added isn't a voter
// yet or is the one to be removed.
bool IsApplicable(const replica_set& voters,
                  const wire::replica_change& change) {
  const instance_name removed{change.removed()};
  const instance_name added{change.added()};
  if (!removed.value.empty() &&
      !IsVoter(voters, removed, {change.removed_storage()})) {
    return false;
  }
  const bool same_name = added == removed;
  return added.value.empty() || same_name || !voters.contains(added);
}

}  // namespace

milliseconds LongestColdStart(const manifest& published) {
  milliseconds longest{0};
  for (const manifest_service& service : published.services) {
    longest = std::max(longest, service.cold_start);
  }
  return longest;
}

std::string EncodeOrder(std::uint64_t nonce, const published_order& order) {
  wire::published_entry entry;
  entry.set_order(nonce);
  if (const auto* publish = std::get_if<publish_manifest>(&order)) {
    entry.mutable_manifest()->set_version(publish->version.value);
    entry.mutable_manifest()->set_text(publish->text);
  } else if (const auto* evacuation = std::get_if<set_evacuation>(&order)) {
    entry.mutable_evacuation()->set_data_centre(evacuation->data_centre.value);
    entry.mutable_evacuation()->set_closed(evacuation->closed);
  } else if (const auto* change = std::get_if<replica_change>(&order)) {
    auto* replicas = entry.mutable_replicas();
    replicas->set_removed(change->removed.value);
    replicas->set_removed_storage(change->removed_storage.value);
    replicas->set_added(change->added.value);
    replicas->set_added_storage(change->added_storage.value);
  } else {
    entry.mutable_read()->set_nonce(nonce);
  }
  return entry.SerializeAsString();
}

bool published_state::CanApply(const std::string& entry) const {
  const wire::published_entry decoded = Decode(entry);
  if (decoded.has_manifest()) {
    return decoded.manifest().version() > manifest_.version.value;
  }
  if (decoded.has_evacuation()) return true;
  return decoded.has_replicas() && IsApplicable(voters_, decoded.replicas());
}

void published_state::Apply(log_index index, const std::string& entry) {
  const wire::published_entry decoded = Decode(entry);
  if (decoded.has_founding()) {
    voters_ = DecodeBootstrapVoters(entry);
    return;
  }
  if (!CanApply(entry)) return;
  if (decoded.has_replicas()) {
    const wire::replica_change& change = decoded.replicas();
    voters_.erase({change.removed()});
    if (!change.added().empty()) {
      voters_[{change.added()}] = {change.added_storage()};
    }
    return;
  }
  if (decoded.has_evacuation()) {
    const data_centre_name name{decoded.evacuation().data_centre()};
    const bool is_changed = decoded.evacuation().closed()
                                ? closed_.insert(name).second
                                : closed_.erase(name) > 0;
    if (is_changed) last_changed_index_ = index;
    return;
  }
  Publish(index, decoded.manifest());
}

void published_state::Publish(log_index index,
                              const wire::manifest_entry& entry) {
  text_ = entry.text();
  if (!restoring_) ReplaceRoutes(index, DecodeManifest());
  manifest_.version = {entry.version()};
  last_changed_index_ = index;
}

manifest published_state::DecodeManifest() const {
  auto decoded = decode_(text_);
  CHECK(decoded) << "cannot decode a manifest of the agreed log";
  return *std::move(decoded);
}

void published_state::EndRestore(log_index index) {
  restoring_ = false;
  if (manifest_.version.value == 0) return;
  const manifest_version version = manifest_.version;
  manifest_ = DecodeManifest();
  manifest_.version = version;
  route_changes_.clear();
  route_history_start_ = index;
}

void published_state::ReplaceRoutes(log_index index, manifest next) {
  for (const auto& [address, route] : next.routes) {
    auto old = manifest_.routes.find(address);
    if (old == manifest_.routes.end() || old->second != route) {
      route_changes_[address] = index;
    }
  }
  for (const auto& [address, route] : manifest_.routes) {
    if (!next.routes.contains(address)) route_changes_[address] = index;
  }
  manifest_ = std::move(next);
  if (route_changes_.size() > manifest_.routes.size() + kMaxRemovedRoutes) {
    route_changes_.clear();
    route_history_start_ = index;
  }
}

std::optional<std::vector<route_change>> published_state::RoutesSince(
    log_index index) const {
  if (index < route_history_start_ || index.value == 0) return std::nullopt;
  std::vector<route_change> changes;
  for (const auto& [address, changed_index] : route_changes_) {
    if (changed_index <= index) continue;
    auto it = manifest_.routes.find(address);
    changes.push_back(
        {address, it == manifest_.routes.end() ? nullptr : &it->second});
  }
  return changes;
}

std::string published_state::Save() const {
  wire::published_snapshot snapshot;
  for (const auto& [name, storage] : voters_) {
    auto* voter = snapshot.add_voters();
    voter->set_name(name.value);
    voter->set_storage_id(storage.value);
  }
  snapshot.mutable_manifest()->set_version(manifest_.version.value);
  snapshot.mutable_manifest()->set_text(text_);
  for (const data_centre_name& name : closed_) {
    snapshot.add_closed_data_centres(name.value);
  }
  return snapshot.SerializeAsString();
}

void published_state::Load(log_index index, const std::string& state) {
  wire::published_snapshot snapshot;
  CHECK(snapshot.ParseFromString(state))
      << "cannot parse the snapshot of the published state";
  voters_.clear();
  closed_.clear();
  route_changes_.clear();
  manifest_ = {};
  text_ = snapshot.manifest().text();
  for (const wire::replica& voter : snapshot.voters()) {
    voters_[{voter.name()}] = {voter.storage_id()};
  }
  for (const std::string& name : snapshot.closed_data_centres()) {
    closed_.insert({name});
  }
  if (snapshot.manifest().version() > 0) {
    if (!restoring_) manifest_ = DecodeManifest();
    manifest_.version = {snapshot.manifest().version()};
  }
  last_changed_index_ = index;
  route_history_start_ = index;
}

std::string published_state::EncodeBootstrapEntry(const replica_set& voters) {
  wire::published_entry entry;
  for (const auto& [name, storage] : voters) {
    auto* replica = entry.mutable_founding()->add_replicas();
    replica->set_name(name.value);
    replica->set_storage_id(storage.value);
  }
  return entry.SerializeAsString();
}

replica_set published_state::DecodeBootstrapVoters(const std::string& entry) {
  replica_set voters;
  const wire::published_entry decoded = Decode(entry);
  for (const wire::replica& replica : decoded.founding().replicas()) {
    voters[{replica.name()}] = {replica.storage_id()};
  }
  return voters;
}

}  // namespace lavendertack
