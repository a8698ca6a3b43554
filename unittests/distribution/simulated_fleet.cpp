#include "simulated_fleet.h"

#include <gtest/gtest.h>

namespace siskinrack::distribution::test {

std::vector<peer_view> simulated_fleet::MakePeerViews(const std::string& name) const {
  std::vector<peer_view> peers;
  for (const auto& [id, node] : members_) {
    if (id == name) continue;
    const auto health = node.running ? wire::member_health::alive : wire::member_health::dead;
    peers.push_back({id, node.domain, health, node.active->config.version});
  }
  return peers;
}

void simulated_fleet::Advance(milliseconds elapsed) {
  now_ += elapsed;
  for (auto& [name, node] : members_) {
    if (!node.running) continue;
    node.agent->Advance(MakePeerViews(name), now_, random_);
    Collect(name);
  }
}

void simulated_fleet::Collect(const std::string& name) {
  member& node = members_.at(name);
  for (const activation& next : node.agent->TakeActivations()) {
    EXPECT_GT(next.snapshot->config.version, node.active->config.version) << name;
    EXPECT_GE(next.snapshot->config.version, node.highest_served)
        << name << " serves an older version than before";
    node.active = next.snapshot;
    node.highest_served = next.snapshot->config.version;
  }
  for (const outgoing_message& message : node.agent->TakeMessages()) Send(name, message);
}

void simulated_fleet::Send(const std::string& from, const outgoing_message& message) {
  const auto body = std::make_shared<wire::messageUnion>(message.body);
  const std::string to = message.to;
  Enqueue(to, [this, from, to, body](member& node) {
    if (const auto* notice = body->Asversion_notice()) {
      node.agent->OnPeerVersion(from, notice->version, now_);
    } else if (const auto* request = body->Asconfig_request()) {
      auto reply = node.agent->Answer(*request);
      if (reply.full) ++node.full_copies;
      Enqueue(from, [this, to, reply = std::move(reply)](member& requester) {
        requester.agent->OnUpdate(to, reply, now_);
      });
    } else if (const auto* witness = body->Aswitness_request()) {
      const bool recorded = node.agent->Answer(from, *witness, now_).recorded;
      Enqueue(from, [to, version = witness->version, recorded](member& requester) {
        requester.agent->OnWitnessReply(to, version, recorded);
      });
    } else if (const auto* floor = body->Asfloor_request()) {
      const auto reply = node.agent->Answer(*floor, MakePeerViews(to));
      if (!reply) return;
      Enqueue(from, [this, to, reply = *reply](member& requester) {
        requester.agent->OnFloorReply(to, reply, now_);
      });
    }
  });
}

void simulated_fleet::DeliverOne(double drop, double repeat) {
  if (messages_.empty()) return;
  std::swap(messages_[random_() % messages_.size()], messages_.back());
  const message_in_transit next = messages_.back();
  messages_.pop_back();
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  member& receiver = members_.at(next.to);
  if (draw < drop || !receiver.running) return;
  if (draw > 1 - repeat) messages_.push_back(next);
  next.body(receiver);
  Collect(next.to);
}

void simulated_fleet::Run(milliseconds duration) {
  constexpr milliseconds kStep{50};
  constexpr milliseconds kExchangeInterval{1'000};
  for (milliseconds passed{0}; passed < duration; passed += kStep) {
    Advance(kStep);
    if (passed % kExchangeInterval == milliseconds(0)) ExchangeAll();
    for (std::size_t i = messages_.size(); i > 0; --i) DeliverOne(0, 0);
  }
}

void simulated_fleet::ExchangeAll() {
  for (const auto& [name, node] : members_) {
    const auto other = std::next(members_.begin(), static_cast<int>(random_() % members_.size()));
    Exchange(name, other->first);
    Exchange(other->first, name);
  }
}

void ExpectInvariants(simulated_fleet& fleet) {
  for (const auto& [name, node] : fleet.members()) {
    const config::mesh_resources& resources = node.active->config.resources;
    for (const config::route& route : resources.routes) {
      EXPECT_NE(resources.FindService(route.service), nullptr) << name << ' ' << route.name;
    }
    EXPECT_GE(node.agent->held()->config.version, node.active->config.version) << name;
  }
}

}  // namespace siskinrack::distribution::test
