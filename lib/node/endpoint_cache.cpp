#include "endpoint_cache.h"

namespace siskinrack::node {
namespace {

/// Number of lists built between two removals of unused endpoint states.
constexpr std::uint64_t kListsPerSweep = 100;

}  // namespace

std::shared_ptr<const endpoint_list> endpoint_cache::Find(std::string_view service,
                                                          std::string_view rank) {
  std::string name(service);
  name.append("/").append(rank);
  const auto cached = lists_.Get(name);
  auto source = context_.members.Endpoints(service);
  const std::lock_guard lock(cached->mutex);
  if (cached->list == nullptr || cached->source != source) {
    cached->list = BuildList(source, rank);
    cached->source = std::move(source);
    if (lists_built_++ % kListsPerSweep == 0) tracker_.DropUnused();
  }
  return cached->list;
}

std::shared_ptr<const endpoint_list> endpoint_cache::BuildList(
    const membership::endpoint_list& source, std::string_view rank) {
  auto list = std::make_shared<endpoint_list>();
  for (const auto& member : *source) {
    auto address = support::ParseSocketAddress(member.peer_address);
    if (!address) continue;
    list->endpoints.push_back({member.node_id, std::move(*address)});
    // The name contains the incarnation, so that a restarted upstream starts without the recorded
    // failures of its previous incarnation.
    std::string name = member.node_id + '@' + std::to_string(member.incarnation);
    name.append("/").append(rank);
    list->candidates.push_back({tracker_.Get(name, member.slots),
                                member.failure_domain == context_.settings.failure_domain});
  }
  return list;
}

}  // namespace siskinrack::node
