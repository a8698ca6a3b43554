#include "config_consumer.h"

#include "configuration_codec.h"

namespace siskinrack::mesh {

void config_consumer::OnList(platform_adapter::object_listing listing) {
  for (const platform_adapter::versioned_object& object : listing.objects) ApplyIfNewer(object);
}

void config_consumer::OnChange(platform_adapter::object_change change) {
  if (change.deleted) {
    context_.log.Warn("config_object_deleted",
                      {{"name", change.object.name}, {"kept_version", context_.version()}});
    return;
  }
  ApplyIfNewer(change.object);
}

void config_consumer::ApplyIfNewer(const platform_adapter::versioned_object& object) {
  if (object.name != platform_adapter::kConfigurationName) return;
  support::findings problems;
  auto config = platform_adapter::ReadConfiguration(object.content, problems);
  if (!config) {
    const std::string text = object.problem.empty() ? problems.ToText() : object.problem;
    context_.unreadable.Add(platform_adapter::kConfigurationKind, object.name, object.revision,
                            text);
    context_.log.Warn(
        "config_rejected",
        {{"revision", object.revision}, {"kept_version", context_.version()}, {"findings", text}});
    return;
  }
  if (config->version <= context_.version()) return;
  const std::uint64_t previous = context_.version();
  context_.routes = std::make_shared<const routing::route_table>(std::move(*config));
  context_.log.Info("config_active", {{"version", context_.version()},
                                      {"previous", previous},
                                      {"revision", object.revision},
                                      {"routes", context_.routes->config().routes.size()}});
  on_active_();
}

}  // namespace siskinrack::mesh
