#ifndef SISKINRACK_LIB_MESH_TENANT_GATE_H_
#define SISKINRACK_LIB_MESH_TENANT_GATE_H_

#include <string_view>

#include "cap_service.h"
#include "mesh_context.h"

namespace siskinrack::mesh {

/// Identifies the tenants of callers' requests by their API keys and charges their usage caps. Does
/// nothing while the configuration has no tenants.
class tenant_gate {
 public:
  /// Result for one request.
  struct verdict {
    /// Status of the refusal; 0 if the request may run.
    unsigned status = 0;
    std::string_view reason;
    /// Time after which the caller may come back; 0 if it isn't known.
    std::chrono::milliseconds retry_after{0};
    /// Tenant of the caller; null if it has none. Valid as long as the route table.
    const tenancy::tenant* tenant = nullptr;
  };

  tenant_gate(mesh_context& context, cap_service& caps) : context_(context), caps_(caps) {}

  /// Removes the API key from the request and returns whether the request may run on `route`, which
  /// belongs to `routes`.
  verdict Identify(const routing::route_table& routes, const routing::route& route,
                   net::http_request& request);

  /// Charges a request to the usage cap of its tenant and returns whether it may run. A request
  /// that is charged and doesn't run isn't given back. May suspend the calling fiber, at most until
  /// `deadline`.
  verdict Charge(const tenancy::tenant& tenant, net::steady_time deadline);

  /// Adds the counts of the tenants with most requests, and those of all others together.
  void AddMetrics(support::metrics_page& page) const;

 private:
  mesh_context& context_;
  cap_service& caps_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_TENANT_GATE_H_
