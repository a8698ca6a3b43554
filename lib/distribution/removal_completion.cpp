#include "siskinrack/distribution/removal_completion.h"

#include <algorithm>

#include "siskinrack/config/plan.h"

namespace siskinrack::distribution {

std::optional<config::mesh_config> removal_completion::Next(const config::mesh_config& head,
                                                            std::span<const peer_view> members,
                                                            time_point now) {
  const bool complete = std::all_of(members.begin(), members.end(), [&](const peer_view& member) {
    return member.health == wire::member_health::dead || member.served_version >= head.version;
  });
  config::mesh_resources rest = config::RemoveRetiringServices(head.resources);
  if (!complete || rest == head.resources) {
    version_ = 0;
    return std::nullopt;
  }
  if (version_ != head.version) {
    version_ = head.version;
    since_ = now;
  }
  if (now - since_ < kDelay) return std::nullopt;
  // The plan's id stays, so that a repeated confirmation of the plan still finds it in force.
  return config::mesh_config{head.version + 1, head.plan_id, std::move(rest)};
}

bool IsFirstDomain(std::string_view domain, std::span<const peer_view> members) {
  return std::none_of(members.begin(), members.end(), [&](const peer_view& member) {
    return member.health != wire::member_health::dead && member.failure_domain < domain;
  });
}

}  // namespace siskinrack::distribution
