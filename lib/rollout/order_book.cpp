#include "siskinrack/rollout/order_book.h"

#include <algorithm>

namespace siskinrack::rollout {
namespace {

phase ToPhase(order_state state) {
  switch (state) {
    case order_state::kDone:
      return phase::kDone;
    case order_state::kRolledBack:
      return phase::kRolledBack;
    default:
      return phase::kTrial;
  }
}

bool IsSameOrder(const order_entry& entry, const order& read) {
  return !entry.withdrawn && entry.ordered.target_version == read.target_version &&
         entry.ordered.duration == read.duration;
}

}  // namespace

std::string_view ToText(phase current) {
  switch (current) {
    case phase::kCutOver:
      return "cut_over";
    case phase::kDone:
      return "done";
    case phase::kRolledBack:
      return "rolled_back";
    default:
      return "trial";
  }
}

bool order_book::OnOrder(const order& read, time_point now) {
  const auto found = entries_.find(read.service);
  const bool is_final = read.state != order_state::kRunning;
  if (found == entries_.end() || !IsSameOrder(found->second, read)) {
    // The state of an order that replaces a known one belongs to that one.
    const bool replaced = found != entries_.end() && !found->second.withdrawn;
    order_entry entry{read,
                      replaced ? phase::kTrial : ToPhase(read.state),
                      read.revision,
                      is_final && !replaced,
                      false,
                      now,
                      now};
    if (replaced) entry.ordered.state = order_state::kRunning;
    entries_.insert_or_assign(read.service, std::move(entry));
    return true;
  }
  order_entry& entry = found->second;
  if (read.revision < entry.recorded_revision) return false;
  entry.recorded_revision = read.revision;
  if (!is_final) {
    if (!entry.recorded) return false;
    // The same order is given once more.
    entry = {read, phase::kTrial, read.revision, false, false, now, now};
    return true;
  }
  const phase next = ToPhase(read.state);
  const bool changed = entry.current != next;
  entry.ordered.state = read.state;
  entry.recorded = true;
  if (changed) {
    entry.current = next;
    entry.phase_since = now;
  }
  return changed;
}

bool order_book::OnDeleted(std::string_view service, time_point now) {
  const auto found = entries_.find(service);
  if (found == entries_.end() || found->second.withdrawn) return false;
  order_entry& entry = found->second;
  if (entry.recorded) {
    entries_.erase(found);
    return true;
  }
  entry.withdrawn = true;
  entry.recorded = true;
  entry.current = phase::kRolledBack;
  entry.phase_since = now;
  return true;
}

void order_book::OnList(const std::vector<order>& all, time_point now) {
  std::vector<std::string> missing;
  for (const auto& known : entries_) {
    const std::string& service = known.first;
    if (std::none_of(all.begin(), all.end(),
                     [&service](const order& read) { return read.service == service; })) {
      missing.push_back(service);
    }
  }
  for (const std::string& service : missing) OnDeleted(service, now);
  for (const order& read : all) OnOrder(read, now);
}

bool order_book::OnVerdict(std::string_view service, std::uint64_t order_revision, bool rolled_back,
                           time_point now) {
  const auto found = entries_.find(service);
  if (found == entries_.end()) return false;
  order_entry& entry = found->second;
  if (entry.recorded || entry.ordered.revision != order_revision) return false;
  const phase next = rolled_back ? phase::kRolledBack : phase::kCutOver;
  if (entry.current == next || entry.current == phase::kRolledBack) return false;
  entry.current = next;
  entry.phase_since = now;
  return true;
}

const order_entry* order_book::Find(std::string_view service) const {
  const auto found = entries_.find(service);
  return found == entries_.end() ? nullptr : &found->second;
}

bool order_book::HasOpenOrder() const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [](const auto& entry) { return !entry.second.recorded; });
}

}  // namespace siskinrack::rollout
