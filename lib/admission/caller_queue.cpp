#include "siskinrack/admission/caller_queue.h"

#include <algorithm>
#include <cassert>

namespace siskinrack::admission {

void caller_queue::Push(queued_call call) {
  ++size_;
  for (lane& calls : lanes_) {
    if (calls.front().caller != call.caller) continue;
    calls.push_back(std::move(call));
    return;
  }
  lanes_.emplace_back().push_back(std::move(call));
}

queued_call caller_queue::Pop() {
  assert(!empty() && "the queue is empty");
  lane& first = lanes_.front();
  queued_call call = std::move(first.front());
  first.pop_front();
  --size_;
  if (first.empty()) {
    lanes_.pop_front();
  } else {
    lanes_.splice(lanes_.end(), lanes_, lanes_.begin());
  }
  return call;
}

queued_call caller_queue::PopFromLongest() {
  assert(!empty() && "the queue is empty");
  const auto longest =
      std::max_element(lanes_.begin(), lanes_.end(),
                       [](const lane& a, const lane& b) { return a.size() < b.size(); });
  queued_call call = std::move(longest->back());
  longest->pop_back();
  --size_;
  if (longest->empty()) lanes_.erase(longest);
  return call;
}

bool caller_queue::Erase(std::uint64_t ticket) {
  bool found = false;
  EraseIf([ticket](const queued_call& call) { return call.ticket == ticket; },
          [&](const queued_call&) { found = true; });
  return found;
}

void caller_queue::EraseIf(const std::function<bool(const queued_call&)>& predicate,
                           const std::function<void(const queued_call&)>& removed) {
  for (auto calls = lanes_.begin(); calls != lanes_.end();) {
    size_ -= std::erase_if(*calls, [&](const queued_call& call) {
      if (!predicate(call)) return false;
      removed(call);
      return true;
    });
    calls = calls->empty() ? lanes_.erase(calls) : std::next(calls);
  }
}

std::size_t caller_queue::CallsAhead(std::string_view caller) const {
  std::size_t own = 0;
  for (const lane& calls : lanes_) {
    if (calls.front().caller == caller) own = calls.size();
  }
  std::size_t ahead = own;
  for (const lane& calls : lanes_) {
    if (calls.front().caller != caller) ahead += std::min(calls.size(), own + 1);
  }
  return ahead;
}

}  // namespace siskinrack::admission
