#include "siskinrack/membership/dissemination_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace siskinrack::membership {
namespace {

/// Transmissions that carry the full record. Later ones carry the status only; a receiver that
/// lacks the record requests it.
constexpr unsigned kMaxFullSends = 6;

}  // namespace

unsigned dissemination_queue::GetPriority(const change& entry) {
  // Urgent changes take precedence for their first transmissions only, so that a large number of
  // them doesn't starve the others.
  constexpr unsigned kUrgentLead = 3;
  return entry.sent + (entry.urgent ? 0 : kUrgentLead);
}

void dissemination_queue::Add(const std::string& node_id, bool full_record, bool urgent) {
  const auto found = changes_.find(node_id);
  const bool keep_full_record = found != changes_.end() && found->second.full_record;
  changes_[node_id] = {full_record || keep_full_record, urgent, 0, next_order_++};
}

std::vector<queued_change> dissemination_queue::InSendOrder() const {
  using queue_entry = std::pair<const std::string, change>;
  std::vector<const queue_entry*> entries;
  entries.reserve(changes_.size());
  for (const queue_entry& entry : changes_) entries.push_back(&entry);
  std::sort(entries.begin(), entries.end(), [](const queue_entry* a, const queue_entry* b) {
    return std::make_tuple(GetPriority(a->second), b->second.order) <
           std::make_tuple(GetPriority(b->second), a->second.order);
  });
  std::vector<queued_change> list;
  list.reserve(entries.size());
  for (const queue_entry* entry : entries)
    list.push_back({entry->first, entry->second.full_record && entry->second.sent < kMaxFullSends});
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
  if (now > last_refill_) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    available_bytes_ = std::min(burst_, available_bytes_ + elapsed.count() * rate_);
    last_refill_ = now;
  }
  return available_bytes_ > 0 ? static_cast<std::size_t>(available_bytes_) : 0;
}

}  // namespace siskinrack::membership
