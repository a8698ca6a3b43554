#include "siskinrack/routing/endpoint_table.h"

#include <set>

namespace siskinrack::routing {

void endpoint_table::Replace(std::vector<endpoint> all) {
  endpoints_by_id_.clear();
  for (endpoint& entry : all) {
    std::string id = entry.life.instance_id;
    endpoints_by_id_.insert_or_assign(std::move(id), std::move(entry));
  }
  MarkChanged();
}

void endpoint_table::Upsert(endpoint entry) {
  std::string id = entry.life.instance_id;
  const auto found = endpoints_by_id_.find(id);
  if (found != endpoints_by_id_.end() && found->second == entry) return;
  endpoints_by_id_.insert_or_assign(std::move(id), std::move(entry));
  MarkChanged();
}

void endpoint_table::Remove(std::string_view instance_id) {
  const auto found = endpoints_by_id_.find(instance_id);
  if (found == endpoints_by_id_.end()) return;
  endpoints_by_id_.erase(found);
  MarkChanged();
}

endpoint_list endpoint_table::ReadyEndpoints(std::string_view service) const {
  const auto cached = ready_by_service_.find(service);
  if (cached != ready_by_service_.end()) return cached->second;
  std::map<support::socket_address, const endpoint*> latest;
  for (const auto& [id, entry] : endpoints_by_id_) {
    const endpoint*& latest_at_address = latest[entry.node_address];
    if (latest_at_address == nullptr || latest_at_address->life.born_ms < entry.life.born_ms)
      latest_at_address = &entry;
  }
  auto list = std::make_shared<std::vector<endpoint>>();
  for (const auto& [address, entry] : latest) {
    if (entry->service == service && entry->state == instance_state::kReady)
      list->push_back(*entry);
  }
  return ready_by_service_.emplace(std::string(service), std::move(list)).first->second;
}

std::vector<endpoint> endpoint_table::All() const {
  std::vector<endpoint> all;
  for (const auto& [id, entry] : endpoints_by_id_) all.push_back(entry);
  return all;
}

std::vector<support::socket_address> endpoint_table::Nodes() const {
  std::set<support::socket_address> addresses;
  for (const auto& [id, entry] : endpoints_by_id_) addresses.insert(entry.node_address);
  return {addresses.begin(), addresses.end()};
}

std::size_t endpoint_table::CountNodes() const {
  if (!node_count_) node_count_ = Nodes().size();
  return *node_count_;
}

void endpoint_table::MarkChanged() {
  node_count_.reset();
  ready_by_service_.clear();
  ++generation_;
}

}  // namespace siskinrack::routing
