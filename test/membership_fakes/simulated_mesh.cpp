#include "simulated_mesh.h"

#include <algorithm>

namespace siskinrack::test {
namespace {

using membership::outgoing_message;

constexpr time_ms kTickInterval{100};
/// A link on which no request was sent for this time is closed.
constexpr time_ms kLinkIdleTimeout{60'000};
constexpr std::size_t kServiceCount = 61;

/// Returns the bytes of the records and statuses of an exchange or its reply; 0 for null.
template <typename Exchange>
std::size_t CountRecordBytes(const Exchange* exchange) {
  if (exchange == nullptr) return 0;
  std::size_t bytes = exchange->statuses.size() * membership::kStatusBytes;
  for (const auto& record : exchange->records) bytes += membership::EncodedBytes(*record);
  return bytes;
}

std::unique_ptr<wire::envelope_t> Decode(const std::string& frame) {
  const std::span<const std::uint8_t> bytes(reinterpret_cast<const std::uint8_t*>(frame.data()),
                                            frame.size());
  return wire::DecodeEnvelope(bytes.subspan(wire::kLengthPrefixBytes));
}

/// Fills the configuration and watcher fields, as a node does, so that messages have a realistic
/// size.
template <typename Exchange>
void FillConfigFields(Exchange* exchange) {
  constexpr std::size_t kDigestLength = 64;
  if (exchange == nullptr) return;
  exchange->config_version = 1;
  exchange->config_digest = std::string(kDigestLength, 'a');
  exchange->watcher_node = "node-000";
  exchange->watcher_age_ms = 1;
}

}  // namespace

struct simulated_mesh::request {
  std::size_t from = 0;
  std::size_t to = 0;
  unsigned start_count = 0;
  bool done = false;
  std::function<void(const wire::envelope_t*)> on_result;
};

simulated_mesh::simulated_mesh(mesh_options options)
    : options_(options), random_(options.seed), members_(options.members) {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    members_[i].node_id = "node-" + std::to_string(i);
    members_[i].domain = i % options_.failure_domains;
  }
}

void simulated_mesh::SetFaults(link_faults near, link_faults far) {
  options_.near = near;
  options_.far = far;
}

void simulated_mesh::Schedule(time_ms time, std::function<void()> action) {
  events_.push({time, next_order_++, std::move(action)});
}

void simulated_mesh::ScheduleForMember(std::size_t index, time_ms delay,
                                       std::function<void()> action) {
  Schedule(now_ + delay,
           [this, index, start_count = members_[index].start_count, action = std::move(action)] {
             simulated_member& member = members_[index];
             if (!member.running || member.start_count != start_count) return;
             if (member.paused) {
               member.deferred_actions.push_back(action);
             } else {
               action();
             }
           });
}

void simulated_mesh::Run(time_ms duration) {
  const time_ms end = now_ + duration;
  while (!events_.empty() && events_.top().time <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.time;
    next.action();
  }
  now_ = end;
}

time_ms simulated_mesh::RunUntil(const std::function<bool()>& condition, time_ms limit,
                                 time_ms step) {
  const time_ms start = now_;
  while (!condition() && now_ - start < limit) Run(step);
  return now_ - start;
}

void simulated_mesh::StartAll() {
  constexpr std::uint64_t kFirstIncarnation = 1'000;
  for (std::size_t i = 0; i < members_.size(); ++i) Start(i, kFirstIncarnation);
}

void simulated_mesh::Start(std::size_t index, std::uint64_t incarnation) {
  constexpr unsigned kFirstPort = 10'000;
  constexpr std::size_t kMembersPerNetwork = 250;
  simulated_member& member = members_[index];
  ++member.start_count;
  member.running = true;
  member.paused = false;
  // A restarted member gets another port, as with a port chosen by the operating system; seeds have
  // fixed addresses.
  member.address =
      "10.0." + std::to_string(index / kMembersPerNetwork) + '.' +
      std::to_string(index % kMembersPerNetwork + 1) + ':' +
      std::to_string(kFirstPort + (index < options_.failure_domains ? 0 : member.start_count));
  member_by_address_[member.address] = index;
  member.table = std::make_unique<membership::member_table>();
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < options_.failure_domains; ++i) {
    if (i != index && members_[i].start_count > 0) seeds.push_back(members_[i].address);
  }
  member.gossip = std::make_unique<membership::gossip>(*member.table, std::move(seeds));
  membership::member_record record;
  record.node_id = member.node_id;
  record.failure_domain = "domain-" + std::to_string(member.domain);
  record.region = "region-" + std::to_string(member.domain % 3);
  record.peer_address = member.address;
  record.admin_address = member.address;
  record.service = "service-" + std::to_string(index % kServiceCount);
  record.state = wire::upstream_state::serving;
  record.slots = 6;
  record.incarnation = incarnation;
  Execute(index, member.gossip->Start(std::move(record), now_, random_));
  ScheduleTicks(index);
}

void simulated_mesh::ScheduleTicks(std::size_t index) {
  ScheduleForMember(index, kTickInterval, [this, index] {
    ScheduleTicks(index);
    Execute(index, members_[index].gossip->Tick(now_, random_));
  });
}

void simulated_mesh::Kill(std::size_t index) {
  members_[index].running = false;
  members_[index].deferred_actions.clear();
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const auto link = members_[i].links.find(index);
    if (link == members_[i].links.end()) continue;
    const bool open = now_ - link->second < kLinkIdleTimeout;
    members_[i].links.erase(link);
    if (!open || !members_[i].running || (is_link_cut_ && is_link_cut_(i, index))) continue;
    ScheduleForMember(i, DrawDelay(index, i), [this, i, index] {
      members_[i].gossip->OnLinkBroken(members_[index].node_id, now_, random_);
    });
  }
}

void simulated_mesh::Pause(std::size_t index) { members_[index].paused = true; }

void simulated_mesh::Resume(std::size_t index) {
  members_[index].paused = false;
  const auto actions = std::move(members_[index].deferred_actions);
  members_[index].deferred_actions.clear();
  for (const auto& action : actions) action();
}

void simulated_mesh::SetState(std::size_t index, wire::upstream_state state) {
  Execute(index, members_[index].gossip->SetState(state, now_, random_));
}

void simulated_mesh::Execute(std::size_t index, membership::gossip_output output) {
  for (const auto& event : output.events) {
    ++event_counts_.at(static_cast<std::size_t>(event.change));
  }
  for (outgoing_message& message : output.messages) {
    if (message.purpose != membership::message_purpose::kPush) {
      FillConfigFields(message.message.message.Asexchange());
    }
    auto shared = std::make_shared<outgoing_message>(message);
    Send(index, std::move(message), [this, index, shared](const wire::envelope_t* reply) {
      auto& gossip = *members_[index].gossip;
      Execute(index, reply == nullptr ? gossip.OnNoReply(*shared, now_, random_)
                                      : gossip.OnReply(*shared, *reply, now_, random_));
    });
  }
}

time_ms simulated_mesh::DrawDelay(std::size_t from, std::size_t to) {
  const bool near = members_[from].domain == members_[to].domain;
  const time_ms jitter = (near ? options_.near : options_.far).jitter;
  const time_ms extra(jitter.count() == 0 ? 0
                                          : random_() % static_cast<std::uint64_t>(jitter.count()));
  return (near ? options_.near_delay : options_.far_delay) + extra;
}

void simulated_mesh::MeasureRecords(const wire::envelope_t& message) {
  max_record_bytes_ = std::max({max_record_bytes_, CountRecordBytes(message.message.Asexchange()),
                                CountRecordBytes(message.message.Asexchange_reply())});
}

void simulated_mesh::Transmit(std::size_t from, std::size_t to, wire::envelope_t message,
                              std::function<void(const std::string&)> deliver) {
  message.sender = members_[from].node_id;
  constexpr std::int64_t kWallUs = 1'796'000'000'000'000;
  message.hlc_wall_us = kWallUs + now_.count();
  message.correlation_id = 1;
  MeasureRecords(message);
  const std::string frame = wire::EncodeFrame(message);
  members_[from].bytes += frame.size();
  if (is_link_cut_ && is_link_cut_(from, to)) return;
  const bool near = members_[from].domain == members_[to].domain;
  const link_faults& faults = near ? options_.near : options_.far;
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(random_) < faults.loss) return;
  const int copies = chance(random_) < faults.duplication ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    ScheduleForMember(to, DrawDelay(from, to), [this, to, frame, deliver] {
      members_[to].bytes += frame.size();
      deliver(frame);
    });
  }
}

void simulated_mesh::Send(std::size_t index, outgoing_message message,
                          std::function<void(const wire::envelope_t*)> on_result) {
  const auto target = member_by_address_.find(message.address);
  const bool push = message.purpose == membership::message_purpose::kPush;
  auto pending = std::make_shared<request>();
  pending->from = index;
  pending->start_count = members_[index].start_count;
  pending->on_result = std::move(on_result);
  auto fail = [pending] {
    if (pending->done) return;
    pending->done = true;
    pending->on_result(nullptr);
  };
  const bool target_listens = target != member_by_address_.end() &&
                              members_[target->second].running &&
                              members_[target->second].address == message.address;
  if (!target_listens && !push) {
    // The operating system refuses a connection to a port that no process listens on. A message to
    // a cut or unknown address times out.
    const bool refused = target != member_by_address_.end() &&
                         !(is_link_cut_ && is_link_cut_(index, target->second));
    ScheduleForMember(index, refused ? 2 * DrawDelay(index, target->second) : message.timeout,
                      fail);
  }
  if (!target_listens) return;
  pending->to = target->second;
  members_[index].links[pending->to] = now_;
  if (!push) ScheduleForMember(index, message.timeout, fail);
  Transmit(index, pending->to, std::move(message.message),
           [this, to = pending->to, pending = push ? nullptr : pending](const std::string& frame) {
             HandleRequest(to, frame, pending);
           });
}

void simulated_mesh::HandleRequest(std::size_t to, const std::string& frame,
                                   const std::shared_ptr<request>& pending) {
  const auto message = Decode(frame);
  auto output = members_[to].gossip->OnRequest(message->sender, message->message,
                                               pending != nullptr, now_, random_);
  auto reply = std::move(output.reply);
  const auto probe_address = std::move(output.probe_address);
  Execute(to, std::move(output));
  if (!reply || pending == nullptr) return;
  if (!probe_address) return SendReply(to, pending, std::move(*reply));
  auto probe_reply = std::make_shared<wire::envelope_t>(std::move(*reply));
  outgoing_message probe{membership::message_purpose::kProbe, "", *probe_address,
                         wire::MakeEnvelope(wire::probe_request_t{}), membership::kReplyTimeout};
  Send(to, std::move(probe), [this, to, pending, probe_reply](const wire::envelope_t* answer) {
    probe_reply->message.Asprobe_reply()->reachable = answer != nullptr;
    SendReply(to, pending, std::move(*probe_reply));
  });
}

void simulated_mesh::SendReply(std::size_t from, const std::shared_ptr<request>& pending,
                               wire::envelope_t reply) {
  FillConfigFields(reply.message.Asexchange_reply());
  reply.is_reply = true;
  Transmit(from, pending->from, std::move(reply), [this, pending](const std::string& frame) {
    if (pending->done || members_[pending->from].start_count != pending->start_count) return;
    pending->done = true;
    const auto message = Decode(frame);
    pending->on_result(message.get());
  });
}

bool simulated_mesh::HasConverged() const {
  const auto running = std::count_if(members_.begin(), members_.end(),
                                     [](const auto& member) { return member.running; });
  std::optional<std::uint64_t> digest;
  for (const simulated_member& member : members_) {
    if (!member.running) continue;
    const std::uint64_t own = member.table->Digest();
    if (digest.value_or(own) != own) return false;
    digest = own;
    std::int64_t alive = 0;
    for (const auto& record : member.table->All()) {
      if (record.health == wire::member_health::alive && !membership::IsGone(record)) ++alive;
    }
    if (alive != running) return false;
  }
  return true;
}

}  // namespace siskinrack::test
