#include "admin_service.h"

#include <boost/json.hpp>

#include "node_metrics.h"
#include "outcome.h"

namespace siskinrack::node {
namespace {

namespace json = boost::json;

net::http_response MakeJsonResponse(const json::value& body) {
  return {kStatusOk, {{"Content-Type", "application/json"}}, json::serialize(body) + '\n'};
}

}  // namespace

net::http_response admin_service::Handle(const net::http_request& request) {
  if (request.target == "/config" && request.method == "PUT") return HandleConfigUpload(request);
  if (auto response = quarantine_.HandleAdminRequest(request)) return std::move(*response);
  if (request.method != "GET") return {kStatusBadRequest, {}, "method is not supported\n"};
  if (request.target == "/healthz") return {kStatusOk, {}, "ok\n"};
  if (request.target == "/readyz") {
    const bool ready = context_.config.Current()->config.version > 0 && !context_.refusing;
    return {ready ? kStatusOk : kStatusUnavailable, {}, ready ? "ready\n" : "not ready\n"};
  }
  if (request.target == "/metrics") {
    return {kStatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, MakeMetricsPage(context_)};
  }
  if (request.target == "/status") return MakeStatusPage();
  if (request.target == "/upstreams") return MakeUpstreamsPage();
  if (request.target == "/timeline") return MakeTimelinePage();
  return {kStatusNotFound, {}, "page does not exist\n"};
}

net::http_response admin_service::MakeStatusPage() const {
  const config_snapshot_ptr snapshot = context_.config.Current();
  const std::uint64_t control_bytes =
      context_.traffic.control_bytes_sent() + context_.traffic.control_bytes_received();
  return MakeJsonResponse(
      json::object{{"node_id", context_.settings.node_id},
                   {"failure_domain", context_.settings.failure_domain},
                   {"version", snapshot->config.version},
                   {"digest", snapshot->digest},
                   {"rejected", configs_.last_rejection()},
                   {"watcher", watcher_.IsWatcher()},
                   {"members", context_.members.All().size()},
                   {"platform_calls", context_.store.calls() + claims_.platform_calls()},
                   {"control_bytes", control_bytes}});
}

net::http_response admin_service::MakeUpstreamsPage() const {
  json::array list;
  for (const auto& member : context_.members.All()) {
    list.push_back(json::object{{"node_id", member.node_id},
                                {"failure_domain", member.failure_domain},
                                {"region", member.region},
                                {"service", member.service},
                                {"state", wire::EnumNameupstream_state(member.state)},
                                {"health", wire::EnumNamemember_health(member.health)},
                                {"slots", member.slots},
                                {"version", member.served_version},
                                {"peer_address", member.peer_address},
                                {"admin_address", member.admin_address}});
  }
  return MakeJsonResponse(list);
}

net::http_response admin_service::MakeTimelinePage() const {
  std::string text;
  for (const std::string& line : context_.log.Recent()) text += line + '\n';
  return {kStatusOk, {{"Content-Type", "text/plain"}}, std::move(text)};
}

net::http_response admin_service::HandleConfigUpload(const net::http_request& request) {
  support::findings problems;
  configs_.SubmitConfig(request.body, "operator", problems);
  if (!problems.empty()) return {kStatusBadRequest, {}, problems.ToText()};
  return {kStatusOk, {}, "ok\n"};
}

}  // namespace siskinrack::node
