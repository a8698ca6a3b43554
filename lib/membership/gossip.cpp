#include "siskinrack/membership/gossip.h"

namespace siskinrack::membership {

member_record gossip::self() const {
  const std::lock_guard lock(mutex_);
  return self_;
}

gossip_step gossip::Start(member_record self, time_ms, std::mt19937_64&) {
  const std::lock_guard lock(mutex_);
  self_ = std::move(self);
  table_.Merge(self_);
  return {};
}

gossip_step gossip::SetState(wire::upstream_state state, time_ms, std::mt19937_64&) {
  const std::lock_guard lock(mutex_);
  self_.state = state;
  ++self_.sequence;
  table_.Merge(self_);
  return {};
}

void gossip::SetServedVersion(std::uint64_t) {}
gossip_step gossip::Tick(time_ms, std::mt19937_64&) { return {}; }
gossip_step gossip::OnRequest(const std::string&, const wire::messageUnion&, bool, time_ms,
                              std::mt19937_64&) {
  return {};
}
gossip_step gossip::OnReply(const outgoing&, const wire::envelope_t&, time_ms, std::mt19937_64&) {
  return {};
}
gossip_step gossip::OnNoReply(const outgoing&, time_ms, std::mt19937_64&) { return {}; }
void gossip::OnLinkBroken(const std::string&, time_ms, std::mt19937_64&) {}

}  // namespace siskinrack::membership
