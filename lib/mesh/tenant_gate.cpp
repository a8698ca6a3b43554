#include "tenant_gate.h"

#include <algorithm>
#include <vector>

#include "call_answers.h"
#include "request_codec.h"
#include "siskinrack/tenancy/access.h"

namespace siskinrack::mesh {
namespace {

/// Number of tenants with metrics of their own, so that the page stays small.
constexpr std::size_t kMaxMetricTenants = 100;

}  // namespace

using tenancy::access_verdict;

tenant_gate::verdict tenant_gate::Identify(const routing::route_table& routes,
                                           const routing::route& route,
                                           net::http_request& request) {
  if (routes.config().tenants.empty()) return {};
  const std::optional<std::string> key = platform_adapter::TakeApiKey(request);
  const tenancy::tenant* tenant = key ? routes.FindTenant(*key) : nullptr;
  switch (tenancy::DecideAccess({.open_route = route.open,
                                 .has_key = key.has_value(),
                                 .has_tenant = tenant != nullptr,
                                 .proved = context_.HasCurrentKeys()})) {
    case access_verdict::kGranted:
      return {.tenant = tenant};
    case access_verdict::kUnproved:
      return {.status = kStatusUnavailable, .reason = "current API keys are not known"};
    case access_verdict::kDenied:
      break;
  }
  return {.status = kStatusUnauthorized,
          .reason = key ? "unknown API key" : "an API key is required"};
}

tenant_gate::verdict tenant_gate::Charge(const tenancy::tenant& tenant, net::steady_time deadline) {
  const cap_service::node::result result = caps_.Acquire(tenant, deadline);
  switch (result.kind) {
    case cap_service::node::outcome::kExceeded:
      return {.status = kStatusTooManyRequests,
              .reason = "usage cap of the tenant is used up",
              .retry_after = result.refill};
    case cap_service::node::outcome::kUnreachable:
      return {.status = kStatusUnavailable, .reason = "usage of the tenant is not known"};
    case cap_service::node::outcome::kGranted:
      break;
  }
  return {.tenant = &tenant};
}

void tenant_gate::AddMetrics(support::metrics_page& page) const {
  using entry = std::pair<std::string_view, cap_service::node::counts>;
  std::vector<entry> entries(caps_.counts_by_tenant().begin(), caps_.counts_by_tenant().end());
  if (entries.empty()) return;
  std::sort(entries.begin(), entries.end(),
            [](const entry& a, const entry& b) { return a.second.asked > b.second.asked; });
  entry others{"other", {}};
  for (std::size_t i = kMaxMetricTenants; i < entries.size(); ++i) {
    others.second.asked += entries[i].second.asked;
    others.second.exceeded += entries[i].second.exceeded;
    others.second.unreachable += entries[i].second.unreachable;
    others.second.granted += entries[i].second.granted;
  }
  if (entries.size() > kMaxMetricTenants) {
    entries.resize(kMaxMetricTenants);
    entries.push_back(others);
  }
  const auto add = [&](std::string_view name, std::string_view help, auto member) {
    page.AddMetric(name, "counter", help);
    for (const auto& [tenant, counts] : entries) {
      page.AddSample(name, {{"tenant", tenant}}, static_cast<double>(counts.*member));
    }
  };
  add("siskinrack_tenant_requests_total", "requests of tenants with a usage cap",
      &cap_service::node::counts::asked);
  add("siskinrack_tenant_over_cap_total", "requests refused because the cap was used up",
      &cap_service::node::counts::exceeded);
  add("siskinrack_tenant_cap_unknown_total", "requests refused because no owner replied",
      &cap_service::node::counts::unreachable);
  add("siskinrack_tenant_tokens_total", "tokens granted to this node",
      &cap_service::node::counts::granted);
}

}  // namespace siskinrack::mesh
