#include "endpoint_cache.h"

namespace siskinrack::node {
namespace {

constexpr std::chrono::milliseconds kListAge{10};

/// Lists read between two removals of the states of endpoints that are gone.
constexpr std::uint64_t kReadsPerSweep = 1000;

}  // namespace

std::shared_ptr<const endpoint_list> endpoint_cache::Find(std::string_view service) {
  const auto cached = lists_.Get(service);
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard lock(cached->mutex);
  if (cached->list == nullptr || now - cached->read_at >= kListAge) {
    cached->list = Read(service);
    cached->read_at = now;
    if (reads_++ % kReadsPerSweep == 0) tracker_.DropUnused();
  }
  return cached->list;
}

std::shared_ptr<const endpoint_list> endpoint_cache::Read(std::string_view service) {
  auto list = std::make_shared<endpoint_list>();
  for (const auto& member : context_.members.Endpoints(service)) {
    auto address = support::ParseSocketAddress(member.peer_address);
    if (!address) continue;
    list->endpoints.push_back({member.node_id, std::move(*address)});
    // An upstream that restarts is a new endpoint without the failures of the one before.
    const std::string name = member.node_id + '@' + std::to_string(member.incarnation);
    list->candidates.push_back({tracker_.Get(name, member.slots),
                                member.failure_domain == context_.settings.failure_domain});
  }
  return list;
}

}  // namespace siskinrack::node
