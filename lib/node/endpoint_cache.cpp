#include "endpoint_cache.h"

namespace siskinrack::node {
namespace {

/// Lists made between two removals of the states of endpoints that are gone.
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
    cached->list = Make(source, rank);
    cached->source = std::move(source);
    if (made_++ % kListsPerSweep == 0) tracker_.DropUnused();
  }
  return cached->list;
}

std::shared_ptr<const endpoint_list> endpoint_cache::Make(const membership::endpoint_list& source,
                                                          std::string_view rank) {
  auto list = std::make_shared<endpoint_list>();
  for (const auto& member : *source) {
    auto address = support::ParseSocketAddress(member.peer_address);
    if (!address) continue;
    list->endpoints.push_back({member.node_id, std::move(*address)});
    // An upstream that restarts is a new endpoint without the failures of the one before.
    std::string name = member.node_id + '@' + std::to_string(member.incarnation);
    name.append("/").append(rank);
    list->candidates.push_back({tracker_.Get(name, member.slots),
                                member.failure_domain == context_.settings.failure_domain});
  }
  return list;
}

}  // namespace siskinrack::node
