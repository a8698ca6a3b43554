#include "siskinrack/membership/dissemination_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace siskinrack::membership {
namespace {

/// Later transmissions carry the status only; a receiver that lacks the record asks for it.
constexpr unsigned kWholeTransmissions = 6;

}  // namespace

unsigned dissemination_queue::Priority(const change& entry) {
  // Urgent changes are ahead for their first transmissions only, so that many of them don't stop
  // the others.
  constexpr unsigned kUrgentLead = 3;
  return entry.sent + (entry.urgent ? 0 : kUrgentLead);
}

void dissemination_queue::Add(const std::string& node_id, bool whole, bool urgent) {
  const auto found = changes_.find(node_id);
  const bool keep_whole = found != changes_.end() && found->second.whole;
  changes_[node_id] = {whole || keep_whole, urgent, 0, next_order_++};
}

std::vector<queued_change> dissemination_queue::Ordered() const {
  using item = std::pair<const std::string, change>;
  std::vector<const item*> items;
  items.reserve(changes_.size());
  for (const item& entry : changes_) items.push_back(&entry);
  std::sort(items.begin(), items.end(), [](const item* a, const item* b) {
    return std::make_tuple(Priority(a->second), b->second.order) <
           std::make_tuple(Priority(b->second), a->second.order);
  });
  std::vector<queued_change> list;
  list.reserve(items.size());
  for (const item* entry : items)
    list.push_back({entry->first, entry->second.whole && entry->second.sent < kWholeTransmissions});
  return list;
}

void dissemination_queue::CountSent(const std::string& node_id, unsigned limit) {
  const auto found = changes_.find(node_id);
  if (found != changes_.end() && ++found->second.sent >= limit) changes_.erase(found);
}

unsigned TransmissionLimit(std::size_t members) {
  constexpr double kFactor = 3;
  const double rounds = std::log2(static_cast<double>(std::max<std::size_t>(members, 2)));
  return static_cast<unsigned>(std::ceil(kFactor * rounds));
}

std::size_t byte_budget::Available(time_ms now) {
  if (now > last_) {
    const std::chrono::duration<double> passed = now - last_;
    left_ = std::min(burst_, left_ + passed.count() * rate_);
    last_ = now;
  }
  return left_ > 0 ? static_cast<std::size_t>(left_) : 0;
}

}  // namespace siskinrack::membership
