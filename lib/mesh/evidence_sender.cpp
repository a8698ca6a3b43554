#include "evidence_sender.h"

#include <algorithm>

#include "siskinrack/quarantine/quarantine_table.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A node that was cut off has to know the evidence when it counts as in touch again, seconds after
/// the end of the cut.
constexpr milliseconds kRepeatInterval{1'000};
/// Interval at which a node that has started looks for other nodes to ask. It runs requests of
/// callers meanwhile, without the evidence.
constexpr milliseconds kStartInterval{50};
/// Several round trips between failure domains.
constexpr milliseconds kReplyTimeout{300};
constexpr std::size_t kOwnDomainSources = 2;

}  // namespace

void evidence_sender::Send(wire::crash_evidence_t evidence) {
  SendOnce(evidence);
  reports_.push_back({std::move(evidence), steady_clock::now(), {}});
}

void evidence_sender::SendOnce(const wire::crash_evidence_t& evidence) {
  for (const support::socket_address& node : context_.endpoints.Nodes()) {
    if (node == context_.settings.peer_address) continue;
    context_.peers.Send(node, wire::MakeEnvelope(wire::crash_evidence_t(evidence)));
  }
}

void evidence_sender::Run() {
  while (!FetchHistory()) net::SleepFor(kStartInterval);
  while (true) {
    net::SleepFor(kRepeatInterval);
    RepeatUnconfirmed();
  }
}

void evidence_sender::RepeatUnconfirmed() {
  UpdateSeenNodes();
  const auto now = steady_clock::now();
  while (!reports_.empty() && now - reports_.front().crashed_at >= quarantine::kEvidenceWindow) {
    reports_.pop_front();
  }
  // Further reports may be added meanwhile.
  const std::size_t count = reports_.size();
  for (std::size_t i = 0; i < count; ++i) Repeat(reports_[i]);
}

void evidence_sender::UpdateSeenNodes() {
  const auto now = steady_clock::now();
  for (const support::socket_address& node : context_.endpoints.Nodes()) seen_nodes_[node] = now;
  seen_nodes_.erase(context_.settings.peer_address);
  std::erase_if(seen_nodes_, [&](const auto& entry) {
    return now - entry.second >= quarantine::kEvidenceWindow;
  });
}

void evidence_sender::Repeat(report& pending) {
  for (const auto& [node, seen_at] : std::map(seen_nodes_)) {
    if (pending.confirmed.contains(node)) continue;
    wire::crash_evidence_t evidence = pending.evidence;
    const auto now = steady_clock::now();
    const auto age = std::chrono::duration_cast<milliseconds>(now - pending.crashed_at);
    evidence.age_ms = static_cast<std::uint32_t>(age.count());
    const auto result =
        context_.peers.Request(node, wire::MakeEnvelope(std::move(evidence)), now + kReplyTimeout);
    if (result.reply == nullptr) continue;
    const auto* confirmation = result.reply->message.Ascrash_evidence();
    if (confirmation == nullptr) continue;
    pending.confirmed.insert(node);
    on_evidence_(*confirmation);
  }
}

std::vector<support::socket_address> evidence_sender::ChooseHistorySources() {
  std::vector<routing::endpoint> all = context_.endpoints.All();
  std::erase_if(all, [&](const routing::endpoint& endpoint) {
    return endpoint.node_address == context_.settings.peer_address;
  });
  std::shuffle(all.begin(), all.end(), random_);
  std::vector<support::socket_address> own;
  std::vector<support::socket_address> sources;
  for (const routing::endpoint& endpoint : all) {
    auto& list = endpoint.zone == context_.settings.zone ? own : sources;
    const std::size_t limit = &list == &own ? kOwnDomainSources : 1;
    if (list.size() < limit) list.push_back(endpoint.node_address);
  }
  sources.insert(sources.end(), own.begin(), own.end());
  return sources;
}

bool evidence_sender::FetchHistory() {
  bool replied = false;
  for (const support::socket_address& node : ChooseHistorySources()) {
    const auto result =
        context_.peers.Request(node, wire::MakeEnvelope(wire::crash_history_request_t{}),
                               steady_clock::now() + kReplyTimeout);
    if (result.reply == nullptr) continue;
    const auto* history = result.reply->message.Ascrash_history();
    if (history == nullptr) continue;
    replied = true;
    context_.log.Info("crash_history_received",
                      {{"node", node.ToText()}, {"crashes", history->crashes.size()}});
    for (const auto& evidence : history->crashes) on_evidence_(*evidence);
  }
  return replied;
}

}  // namespace siskinrack::mesh
