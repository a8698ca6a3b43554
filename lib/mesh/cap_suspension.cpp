#include "cap_suspension.h"

#include <algorithm>
#include <vector>

#include "endpoint_consumer.h"
#include "siskinrack/distribution/peer_view.h"
#include "siskinrack/routing/endpoint_record.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Time between two checks of one node. A node that is suspended disappears from the list, so that
/// no demand waits for it any more.
constexpr milliseconds kCheckInterval{2'000};
/// Time between two attempts to end the own suspension.
constexpr milliseconds kLiftInterval{1'000};
/// Time for the reply of a node that probes the suspect; longer than its own probe.
constexpr milliseconds kProbeTimeout{600};
/// Other nodes that are asked to probe the suspect.
constexpr std::size_t kWitnesses = 2;
/// Bounds memory, because machines are replaced.
constexpr std::size_t kMaxNodes = 1'024;

}  // namespace

void cap_suspension::Suspend(const std::string& node) {
  const auto now = steady_clock::now();
  if (next_checks_.size() >= kMaxNodes) next_checks_.clear();
  net::steady_time& next = next_checks_[node];
  if (now < next) return;
  next = now + kCheckInterval;
  net::Spawn([this, node] { CheckAndSuspend(node); });
}

void cap_suspension::CheckAndSuspend(const std::string& node) {
  if (!IsSilentForOthers(node)) return;
  for (const routing::endpoint& endpoint : context_.endpoints.All()) {
    if (endpoint.node_address.ToText() != node ||
        endpoint.state != routing::instance_state::kReady || !endpoint.suspended_by.empty()) {
      continue;
    }
    // The list without the node is the sooner in force, the sooner it is known here.
    if (Write(endpoint)) read_nodes_();
  }
}

bool cap_suspension::IsSilentForOthers(const std::string& node) {
  const auto* newest = context_.cap_nodes.newest();
  if (newest == nullptr) return false;
  std::vector<std::string> others = newest->nodes;
  std::erase(others, node);
  std::erase(others, context_.settings.peer_address.ToText());
  // Without a third node, nobody else can be reached or asked.
  if (others.empty()) return true;
  bool replied = false;
  for (const std::string& witness :
       distribution::SelectTopRanked(node, std::move(others), kWitnesses)) {
    const auto address = support::ParseSocketAddress(witness);
    if (!address) continue;
    wire::probe_request_t request;
    request.target = node;
    const auto result = context_.peers.Request(*address, wire::MakeEnvelope(std::move(request)),
                                               steady_clock::now() + kProbeTimeout);
    const auto* reply = result.reply == nullptr ? nullptr : result.reply->message.Asprobe_reply();
    if (reply == nullptr) continue;
    if (reply->reachable) return false;
    replied = true;
  }
  return replied;
}

bool cap_suspension::Write(const routing::endpoint& suspect) {
  const std::string& id = suspect.life.instance_id;
  const auto found = context_.store.Get(kEndpointKind, id);
  const auto* object = std::get_if<platform_adapter::versioned_object>(&found);
  if (object == nullptr) return false;
  support::findings problems;
  auto recorded = routing::FromRecord(object->content, problems);
  if (!recorded || !(*recorded == suspect)) return false;
  recorded->suspended_by = context_.settings.peer_address.ToText();
  const auto written =
      context_.store.Replace(kEndpointKind, id, routing::ToRecord(*recorded), object->revision);
  const auto* error = std::get_if<platform_adapter::store_error>(&written);
  context_.log.Info("cap_node_suspended",
                    {{"instance", id},
                     {"node", suspect.node_address.ToText()},
                     {"outcome", error == nullptr ? "written" : platform::ToText(error->code)}});
  return error == nullptr;
}

void cap_suspension::Run() {
  while (true) {
    net::SleepFor(kLiftInterval);
    for (const routing::endpoint& endpoint : context_.endpoints.All()) {
      if (endpoint.suspended_by.empty() ||
          endpoint.node_address != context_.settings.peer_address ||
          !IsLifted(endpoint.suspended_by)) {
        continue;
      }
      context_.log.Info("cap_suspension_lifted", {{"instance", endpoint.life.instance_id},
                                                  {"suspended_by", endpoint.suspended_by}});
      rewrite_own_();
    }
  }
}

bool cap_suspension::IsLifted(const std::string& suspended_by) {
  const auto nodes = context_.endpoints.Nodes();
  const auto address = support::ParseSocketAddress(suspended_by);
  if (!address || std::find(nodes.begin(), nodes.end(), *address) == nodes.end()) return true;
  const auto result = context_.peers.Request(*address, wire::MakeEnvelope(wire::probe_request_t{}),
                                             steady_clock::now() + kProbeTimeout);
  return result.reply != nullptr || result.refused;
}

}  // namespace siskinrack::mesh
