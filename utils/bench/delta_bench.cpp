// Prints the encoded size of a one-route change as a delta and as a full copy, for a configuration
// of the size that the design assumes.

#include <iostream>

#include "siskinrack/config/canonical_json.h"
#include "siskinrack/config/delta.h"

namespace siskinrack::bench {
namespace {

constexpr std::size_t kServices = 61;
constexpr std::size_t kRoutes = 200;

config::mesh_config MakeDesignSizeConfig() {
  config::mesh_config config{100, "0123456789abcdef", {}};
  config::mesh_resources& resources = config.resources;
  for (std::size_t i = 0; i < kServices; ++i) {
    resources.services.push_back(
        {"service-" + std::to_string(i), config::service_state::kActive, 6, 2'000});
  }
  for (std::size_t i = 0; i < kRoutes; ++i) {
    const std::string number = std::to_string(i);
    resources.routes.push_back({"route-" + number, "/api/service/" + number,
                                "service-" + std::to_string(i % kServices), "normal"});
  }
  resources.ranks = {
      {"urgent", 500, 10, 30}, {"normal", 1'000, 3, 20}, {"background", 5'000, 1, 10}};
  resources.SortByName();
  return config;
}

void PrintSizes() {
  const config::mesh_config base = MakeDesignSizeConfig();
  config::mesh_config next = base;
  ++next.version;
  next.resources.routes[kRoutes / 2].rank = "urgent";
  std::cout << "delta_bytes " << config::MakeDelta(base, next).payload.size() << " bytes\n"
            << "full_bytes " << config::ToJson(next).size() << " bytes\n";
}

}  // namespace
}  // namespace siskinrack::bench

int main() {
  siskinrack::bench::PrintSizes();
  return 0;
}
