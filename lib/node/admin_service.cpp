#include "admin_service.h"

#include <boost/json.hpp>

#include "node_metrics.h"
#include "outcome.h"

namespace siskinrack::node {
namespace {

namespace json = boost::json;

net::http_response JsonResponse(const json::value& body) {
  return {kStatusOk, {{"Content-Type", "application/json"}}, json::serialize(body) + '\n'};
}

}  // namespace

net::http_response admin_service::Handle(const net::http_request& request) {
  if (request.target == "/config" && request.method == "PUT") return OfferConfig(request);
  if (auto response = quarantine_.HandleAdmin(request)) return std::move(*response);
  if (request.method != "GET") return {kStatusBadRequest, {}, "unknown method\n"};
  if (request.target == "/healthz") return {kStatusOk, {}, "ok\n"};
  if (request.target == "/readyz") {
    const bool ready = context_.config.Current()->config.version > 0 && !context_.refusing;
    return {ready ? kStatusOk : kStatusUnavailable, {}, ready ? "ready\n" : "not ready\n"};
  }
  if (request.target == "/metrics") {
    return {kStatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, MetricsPage(context_)};
  }
  if (request.target == "/status") return Status();
  if (request.target == "/upstreams") return Upstreams();
  if (request.target == "/timeline") return Timeline();
  return {kStatusNotFound, {}, "no such page\n"};
}

net::http_response admin_service::Status() const {
  const config_snapshot_ptr snapshot = context_.config.Current();
  const std::uint64_t control_bytes =
      context_.traffic.control_bytes_sent() + context_.traffic.control_bytes_received();
  return JsonResponse(
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

net::http_response admin_service::Upstreams() const {
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
  return JsonResponse(list);
}

net::http_response admin_service::Timeline() const {
  std::string text;
  for (const std::string& line : context_.log.Recent()) text += line + '\n';
  return {kStatusOk, {{"Content-Type", "text/plain"}}, std::move(text)};
}

net::http_response admin_service::OfferConfig(const net::http_request& request) {
  support::findings problems;
  configs_.Offer(request.body, "operator", problems);
  if (!problems.empty()) return {kStatusBadRequest, {}, problems.ToText()};
  return {kStatusOk, {}, "ok\n"};
}

}  // namespace siskinrack::node
