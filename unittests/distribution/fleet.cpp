#include "fleet.h"

#include <gtest/gtest.h>

namespace siskinrack::distribution::test {

std::vector<peer_view> fleet::PeersOf(const std::string& name) const {
  std::vector<peer_view> peers;
  for (const auto& [id, item] : members_) {
    if (id == name) continue;
    const auto health = item.running ? wire::member_health::alive : wire::member_health::dead;
    peers.push_back({id, item.domain, health, item.active->config.version});
  }
  return peers;
}

void fleet::Advance(milliseconds elapsed) {
  now_ += elapsed;
  for (auto& [name, item] : members_) {
    if (!item.running) continue;
    item.agent->Advance(PeersOf(name), now_, random_);
    Collect(name);
  }
}

void fleet::Collect(const std::string& name) {
  member& item = members_.at(name);
  for (const activation& next : item.agent->TakeActivations()) {
    EXPECT_GT(next.snapshot->config.version, item.active->config.version) << name;
    EXPECT_GE(next.snapshot->config.version, item.highest_served) << name << " moved back";
    item.active = next.snapshot;
    item.highest_served = next.snapshot->config.version;
  }
  for (const outgoing_message& message : item.agent->TakeMessages()) Send(name, message);
}

void fleet::Send(const std::string& from, const outgoing_message& message) {
  const auto body = std::make_shared<wire::messageUnion>(message.body);
  const std::string to = message.to;
  Post(to, [this, from, to, body](member& item) {
    if (const auto* notice = body->Asversion_notice()) {
      item.agent->OnPeerVersion(from, notice->version, now_);
    } else if (const auto* request = body->Asconfig_request()) {
      auto reply = item.agent->Answer(*request);
      if (reply.full) ++item.full_copies;
      Post(from, [this, to, reply = std::move(reply)](member& asker) {
        asker.agent->OnUpdate(to, reply, now_);
      });
    } else if (const auto* witness = body->Aswitness_request()) {
      const bool recorded = item.agent->Answer(from, *witness, now_).recorded;
      Post(from, [to, version = witness->version, recorded](member& asker) {
        asker.agent->OnWitnessReply(to, version, recorded);
      });
    } else if (const auto* floor = body->Asfloor_request()) {
      const auto reply = item.agent->Answer(*floor, PeersOf(to));
      if (!reply) return;
      Post(from, [this, to, reply = *reply](member& asker) {
        asker.agent->OnFloorReply(to, reply, now_);
      });
    }
  });
}

void fleet::DeliverOne(double drop, double repeat) {
  if (bag_.empty()) return;
  std::swap(bag_[random_() % bag_.size()], bag_.back());
  const parcel next = bag_.back();
  bag_.pop_back();
  const double fate = std::uniform_real_distribution<double>(0, 1)(random_);
  member& receiver = members_.at(next.to);
  if (fate < drop || !receiver.running) return;
  if (fate > 1 - repeat) bag_.push_back(next);
  next.body(receiver);
  Collect(next.to);
}

void fleet::Run(milliseconds duration) {
  constexpr milliseconds kStep{50};
  constexpr milliseconds kExchangeInterval{1'000};
  for (milliseconds passed{0}; passed < duration; passed += kStep) {
    Advance(kStep);
    if (passed % kExchangeInterval == milliseconds(0)) ExchangeAll();
    for (std::size_t i = bag_.size(); i > 0; --i) DeliverOne(0, 0);
  }
}

void fleet::ExchangeAll() {
  for (const auto& [name, item] : members_) {
    const auto other = std::next(members_.begin(), static_cast<int>(random_() % members_.size()));
    Exchange(name, other->first);
    Exchange(other->first, name);
  }
}

void ExpectInvariants(fleet& all) {
  for (const auto& [name, item] : all.members()) {
    const config::mesh_resources& resources = item.active->config.resources;
    for (const config::route& route : resources.routes) {
      EXPECT_NE(resources.FindService(route.service), nullptr) << name << ' ' << route.name;
    }
    EXPECT_GE(item.agent->held()->config.version, item.active->config.version) << name;
  }
}

}  // namespace siskinrack::distribution::test
