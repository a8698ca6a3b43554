#include "siskinrack/routing/endpoint_table.h"

#include <set>

namespace siskinrack::routing {

void endpoint_table::Replace(std::vector<endpoint> all) {
  items_.clear();
  for (endpoint& item : all) {
    std::string id = item.life.instance_id;
    items_.insert_or_assign(std::move(id), std::move(item));
  }
  Changed();
}

void endpoint_table::Upsert(endpoint item) {
  std::string id = item.life.instance_id;
  const auto found = items_.find(id);
  if (found != items_.end() && found->second == item) return;
  items_.insert_or_assign(std::move(id), std::move(item));
  Changed();
}

void endpoint_table::Remove(std::string_view instance_id) {
  const auto found = items_.find(instance_id);
  if (found == items_.end()) return;
  items_.erase(found);
  Changed();
}

endpoint_list endpoint_table::ReadyEndpoints(std::string_view service) const {
  const auto cached = by_service_.find(service);
  if (cached != by_service_.end()) return cached->second;
  std::map<support::socket_address, const endpoint*> latest;
  for (const auto& [id, item] : items_) {
    const endpoint*& holder = latest[item.node_address];
    if (holder == nullptr || holder->life.born_ms < item.life.born_ms) holder = &item;
  }
  auto list = std::make_shared<std::vector<endpoint>>();
  for (const auto& [address, item] : latest) {
    if (item->service == service && item->state == instance_state::kReady) list->push_back(*item);
  }
  return by_service_.emplace(std::string(service), std::move(list)).first->second;
}

std::vector<endpoint> endpoint_table::All() const {
  std::vector<endpoint> all;
  for (const auto& [id, item] : items_) all.push_back(item);
  return all;
}

std::vector<support::socket_address> endpoint_table::Nodes() const {
  std::set<support::socket_address> addresses;
  for (const auto& [id, item] : items_) addresses.insert(item.node_address);
  return {addresses.begin(), addresses.end()};
}

void endpoint_table::Changed() {
  by_service_.clear();
  ++generation_;
}

}  // namespace siskinrack::routing
