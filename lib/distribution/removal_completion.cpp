#include "siskinrack/distribution/removal_completion.h"

#include <algorithm>

#include "siskinrack/config/plan.h"

namespace siskinrack::distribution {

std::optional<config::mesh_config> removal_completion::NextConfig(
    const config::mesh_config& head, std::span<const peer_view> members, time_point now) {
  const bool complete = std::all_of(members.begin(), members.end(), [&](const peer_view& member) {
    return member.health == wire::member_health::dead || member.served_version >= head.version;
  });
  config::mesh_resources remaining = config::RemoveRetiringServices(head.resources);
  if (!complete || remaining == head.resources) {
    version_ = 0;
    return std::nullopt;
  }
  if (version_ != head.version) {
    version_ = head.version;
    complete_since_ = now;
  }
  if (now - complete_since_ < kDelay) return std::nullopt;
  // The plan id is kept, so that a repeated confirmation of the plan still finds the plan active.
  return config::mesh_config{head.version + 1, head.plan_id, std::move(remaining)};
}

bool IsFirstDomain(std::string_view domain, std::span<const peer_view> members) {
  return std::none_of(members.begin(), members.end(), [&](const peer_view& member) {
    return member.health != wire::member_health::dead && member.failure_domain < domain;
  });
}

}  // namespace siskinrack::distribution
