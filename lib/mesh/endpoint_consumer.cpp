#include "endpoint_consumer.h"

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

void endpoint_consumer::OnChange(platform_adapter::object_change change) {
  const std::string& id = change.object.name;
  if (change.deleted) {
    context_.log.Info("endpoint_gone", {{"instance", id}, {"revision", change.object.revision}});
    context_.endpoints.Remove(id);
    on_no_departure_(id);
    on_own_(id, 0);
    return;
  }
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

}  // namespace siskinrack::mesh
