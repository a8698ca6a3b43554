#include "siskinrack/distribution/removal_completion.h"

namespace siskinrack::distribution {

std::optional<config::mesh_config> removal_completion::Next(const config::mesh_config& /*head*/,
                                                            std::span<const peer_view> /*members*/,
                                                            time_point /*now*/) {
  return std::nullopt;
}
bool IsFirstDomain(std::string_view /*domain*/, std::span<const peer_view> /*members*/) {
  return false;
}

}  // namespace siskinrack::distribution
