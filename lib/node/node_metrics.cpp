#include "node_metrics.h"

#include <array>

#include "outcome.h"

namespace siskinrack::node {
namespace {

using support::metrics_page;

/// Returns the rank label under which a request is counted. Only ranks of the active
/// configuration become labels, so that callers cannot create an unlimited number of time series.
std::string FindRankLabel(const node_context& context, const net::http_request& request) {
  const config_snapshot_ptr snapshot = context.config.Current();
  const config::mesh_resources& resources = snapshot->config.resources;
  const std::string_view named = net::FindField(request.fields, kRankField);
  if (!named.empty()) {
    return resources.FindRank(named) != nullptr ? std::string(named) : "unknown";
  }
  const config::route* route = resources.MatchRoute(request.target);
  return route == nullptr ? "none" : route->rank;
}

void AddTraffic(const node_context& context, metrics_page& page) {
  const auto sent = static_cast<double>(context.traffic.control_bytes_sent());
  const auto received = static_cast<double>(context.traffic.control_bytes_received());
  page.AddMetric("siskinrack_control_bytes_total", "counter",
                 "Bytes of control frames, which carry no requests, between nodes.");
  page.AddSample("siskinrack_control_bytes_total", {{"direction", "sent"}}, sent);
  page.AddSample("siskinrack_control_bytes_total", {{"direction", "received"}}, received);
}

void AddPlatformCalls(const node_context& context, metrics_page& page) {
  using platform::call_class;
  const auto calls = [&](call_class kind) {
    return static_cast<double>(context.store.calls(kind));
  };
  page.AddMetric("siskinrack_platform_calls_total", "counter", "Calls to the platform.");
  page.AddSample("siskinrack_platform_calls_total", {{"class", "read"}}, calls(call_class::kRead));
  page.AddSample("siskinrack_platform_calls_total", {{"class", "write"}},
                 calls(call_class::kWrite));
  page.AddSample("siskinrack_platform_calls_total", {{"class", "watch"}},
                 calls(call_class::kWatch));
  page.AddMetric("siskinrack_unreadable_objects_total", "counter",
                 "Objects of the platform's store that were left out.");
  page.AddSample("siskinrack_unreadable_objects_total", {},
                 static_cast<double>(context.store.unreadable()));
}

void AddMembers(const node_context& context, metrics_page& page) {
  std::array<double, static_cast<std::size_t>(wire::member_health::MAX) + 1> counts{};
  for (const auto& member : context.members.All()) {
    counts.at(static_cast<std::size_t>(member.health)) += 1;
  }
  page.AddMetric("siskinrack_members", "gauge",
                 "Members in the member table of this node, itself included.");
  for (const auto health : wire::EnumValuesmember_health()) {
    page.AddSample("siskinrack_members", {{"health", wire::EnumNamemember_health(health)}},
                   counts.at(static_cast<std::size_t>(health)));
  }
}

}  // namespace

net::http_response HandleAndMeasure(
    node_context& context, net::http_request request,
    const std::function<net::http_response(net::http_request)>& handle) {
  const auto start = std::chrono::steady_clock::now();
  const std::string rank = FindRankLabel(context, request);
  net::http_response response = handle(std::move(request));
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
  const std::string_view outcome = net::FindField(response.fields, kOutcomeField);
  context.requests.RecordRequest(outcome.empty() ? "none" : outcome, rank, latency);
  return response;
}

std::string MakeMetricsPage(const node_context& context) {
  metrics_page page;
  page.Append(context.requests.ToText());
  page.AddMetric("siskinrack_config_version", "gauge", "Configuration version in force.");
  page.AddSample("siskinrack_config_version", {},
                 static_cast<double>(context.config.Current()->config.version));
  AddMembers(context, page);
  AddPlatformCalls(context, page);
  AddTraffic(context, page);
  page.AddMetric("siskinrack_clock_refused_total", "counter",
                 "Received clock times rejected as too far in the future.");
  page.AddSample("siskinrack_clock_refused_total", {},
                 static_cast<double>(context.clock.refused()));
  page.AddMetric("process_cpu_seconds_total", "counter", "User and system CPU time in seconds.");
  page.AddSample("process_cpu_seconds_total", {}, support::GetProcessCpuSeconds());
  page.AddMetric("process_resident_memory_bytes", "gauge", "Resident memory size in bytes.");
  page.AddSample("process_resident_memory_bytes", {}, support::GetProcessResidentBytes());
  return page.text();
}

}  // namespace siskinrack::node
