#include "endpoint_consumer.h"

#include <set>

#include "siskinrack/routing/endpoint_record.h"

namespace siskinrack::mesh {

std::optional<routing::endpoint> endpoint_consumer::ParseEndpoint(
    const platform_adapter::versioned_object& object) const {
  support::findings problems;
  auto endpoint = routing::FromRecord(object.content, problems);
  if (!endpoint) {
    context_.unreadable.Add(kEndpointKind, object.name, object.revision,
                            object.problem.empty() ? problems.ToText() : object.problem);
  }
  return endpoint;
}

void endpoint_consumer::OnList(platform_adapter::object_listing listing) {
  std::vector<routing::endpoint> all;
  revisions_.clear();
  for (const platform_adapter::versioned_object& object : listing.objects) {
    revisions_[object.name] = object.revision;
  }
  for (const platform_adapter::versioned_object& object : listing.objects) {
    auto endpoint = ParseEndpoint(object);
    if (!endpoint) continue;
    if (endpoint->state == routing::instance_state::kDeparted) {
      on_departure_(*endpoint, object.revision);
      continue;
    }
    on_no_departure_(object.name);
    if (endpoint->node_address == context_.settings.peer_address)
      on_own_(object.name, object.revision);
    all.push_back(std::move(*endpoint));
  }
  context_.log.Info("endpoints_listed",
                    {{"endpoints", all.size()}, {"revision", listing.revision}});
  context_.endpoints.Replace(std::move(all));
}

std::uint64_t endpoint_consumer::ComputeVersion(const std::set<std::string>& names) const {
  // FNV-1a, which is the same on all nodes.
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  const auto add = [&](std::string_view text) {
    for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    hash = (hash ^ '\n') * 0x100000001b3ULL;
  };
  for (const auto& [id, revision] : revisions_) {
    add(id);
    add(std::to_string(revision));
  }
  // The record of this node is known here before its revision is.
  for (const std::string& name : names) add(name);
  return hash;
}

void endpoint_consumer::OnChange(platform_adapter::object_change change) {
  const std::string& id = change.object.name;
  if (change.deleted) {
    revisions_.erase(id);
    context_.log.Info("endpoint_gone", {{"instance", id}, {"revision", change.object.revision}});
    context_.endpoints.Remove(id);
    on_no_departure_(id);
    on_own_(id, 0);
    return;
  }
  revisions_[id] = change.object.revision;
  auto endpoint = ParseEndpoint(change.object);
  if (!endpoint) return;
  if (endpoint->state == routing::instance_state::kDeparted) {
    context_.log.Info("endpoint_departed",
                      {{"instance", id}, {"revision", change.object.revision}});
    context_.endpoints.Remove(id);
    on_departure_(*endpoint, change.object.revision);
    return;
  }
  on_no_departure_(id);
  context_.log.Info("endpoint_changed",
                    {{"instance", id},
                     {"service", endpoint->service},
                     {"node", endpoint->node_address.ToText()},
                     {"ready", endpoint->state == routing::instance_state::kReady},
                     {"revision", change.object.revision}});
  if (endpoint->node_address == context_.settings.peer_address) on_own_(id, change.object.revision);
  context_.endpoints.Upsert(std::move(*endpoint));
}

void endpoint_consumer::OnProved(support::boot_clock::time_point requested_at) {
  std::set<std::string> names;
  for (const routing::endpoint& endpoint : context_.endpoints.All()) {
    // A node whose upstream leaves is about to end, so that its caps move while it still replies.
    if (endpoint.state != routing::instance_state::kReady) continue;
    if (!endpoint.suspended_by.empty()) continue;
    names.insert(endpoint.node_address.ToText());
  }
  context_.cap_nodes.OnProof(
      {.nodes = {names.begin(), names.end()}, .version = ComputeVersion(names)}, requested_at,
      support::boot_clock::now());
}

}  // namespace siskinrack::mesh
