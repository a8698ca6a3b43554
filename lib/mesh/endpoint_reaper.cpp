#include "endpoint_reaper.h"

#include <algorithm>

#include "endpoint_consumer.h"
#include "siskinrack/routing/endpoint_record.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kProbeInterval{2'000};
constexpr milliseconds kProbeTimeout{1'000};
/// Longer than the restart of a node, including its grace period.
constexpr milliseconds kRemovalDelay{7'000};
constexpr std::int64_t kRemovalDelayJitterMs = 5'000;
/// A suspicion is dropped if no further attempt to reach the node fails within this time.
constexpr milliseconds kSuspicionExpiry{6'000};
/// Time for which a departure stays recorded. Heartbeats arrive seconds late; one that a partition
/// held up arrives after its end.
constexpr std::chrono::minutes kDepartureRetention{10};
/// Other nodes wait longer by a random time, so that one of them removes the record and the others
/// receive the removal before their own time ends.
constexpr milliseconds kForeignDelay{10'000};
constexpr std::int64_t kForeignDelayJitterMs = 60'000;

}  // namespace

void endpoint_reaper::OnUnreachable(const routing::endpoint& endpoint) {
  const auto now = steady_clock::now();
  auto& entry = suspicions_[endpoint.life.instance_id];
  if (!(entry.life == endpoint.life)) {
    const auto jitter = static_cast<std::int64_t>(random_() % kRemovalDelayJitterMs);
    entry = {endpoint.life, now, now, kRemovalDelay + milliseconds(jitter)};
  }
  entry.last_failure = now;
}

void endpoint_reaper::Run() {
  while (true) {
    net::SleepFor(kProbeInterval);
    ProbeSuccessor();
    if (const auto due = TakeDueRemoval()) RemoveRecord(*due);
    RemoveDepartures();
  }
}

void endpoint_reaper::OnDeparture(const routing::endpoint& departed, std::uint64_t revision) {
  departure& entry = departures_[departed.life.instance_id];
  if (entry.revision == revision) return;
  entry = {revision, steady_clock::now() + kDepartureRetention};
  if (departed.node_address == context_.settings.peer_address) return;
  const auto jitter = static_cast<std::int64_t>(random_() % kForeignDelayJitterMs);
  entry.due += kForeignDelay + milliseconds(jitter);
}

void endpoint_reaper::RemoveDepartures() {
  const auto now = steady_clock::now();
  std::vector<std::pair<std::string, std::uint64_t>> due;
  for (auto& [id, entry] : departures_) {
    if (now < entry.due) continue;
    due.emplace_back(id, entry.revision);
    // Repeated if the removal fails and the record stays.
    entry.due = now + kDepartureRetention;
  }
  for (const auto& [id, revision] : due) {
    const auto removed = context_.store.Remove(kEndpointKind, id, revision);
    const auto* error = std::get_if<platform_adapter::store_error>(&removed);
    context_.log.Info("departure_removed",
                      {{"instance", id},
                       {"outcome", error == nullptr ? "removed" : platform::ToText(error->code)}});
  }
}

void endpoint_reaper::ProbeSuccessor() {
  const auto nodes = context_.endpoints.Nodes();
  auto next = std::upper_bound(nodes.begin(), nodes.end(), context_.settings.peer_address);
  if (next == nodes.end()) next = nodes.begin();
  if (next == nodes.end() || *next == context_.settings.peer_address) return;
  const auto result = context_.peers.Request(*next, wire::MakeEnvelope(wire::probe_request_t{}),
                                             steady_clock::now() + kProbeTimeout);
  for (const routing::endpoint& endpoint : context_.endpoints.All()) {
    if (endpoint.node_address != *next) continue;
    if (result.reply == nullptr) {
      OnUnreachable(endpoint);
    } else {
      OnReached(endpoint);
    }
  }
}

std::optional<routing::lifetime> endpoint_reaper::TakeDueRemoval() {
  const auto now = steady_clock::now();
  const auto all = context_.endpoints.All();
  std::erase_if(suspicions_, [&](const auto& suspect) {
    const suspicion& entry = suspect.second;
    const bool recorded =
        std::any_of(all.begin(), all.end(),
                    [&](const routing::endpoint& endpoint) { return endpoint.life == entry.life; });
    return !recorded || now - entry.last_failure > kSuspicionExpiry;
  });
  for (const auto& [id, entry] : suspicions_) {
    if (now - entry.since < entry.removal_delay) continue;
    const routing::lifetime life = entry.life;
    suspicions_.erase(id);
    return life;
  }
  return std::nullopt;
}

void endpoint_reaper::RemoveRecord(const routing::lifetime& life) {
  const auto found = context_.store.Get(kEndpointKind, life.instance_id);
  const auto* object = std::get_if<platform_adapter::versioned_object>(&found);
  if (object == nullptr) return;
  support::findings problems;
  const auto recorded = routing::FromRecord(object->content, problems);
  if (!recorded || !(recorded->life == life)) return;
  if (recorded->state == routing::instance_state::kDeparted) return;
  const auto removed = context_.store.Remove(kEndpointKind, life.instance_id, object->revision);
  const auto* error = std::get_if<platform_adapter::store_error>(&removed);
  context_.log.Info("endpoint_reaped",
                    {{"instance", life.instance_id},
                     {"node", recorded->node_address.ToText()},
                     {"revision", object->revision},
                     {"outcome", error == nullptr ? "removed" : platform::ToText(error->code)}});
}

}  // namespace siskinrack::mesh
