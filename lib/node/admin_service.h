#ifndef SISKINRACK_LIB_NODE_ADMIN_SERVICE_H_
#define SISKINRACK_LIB_NODE_ADMIN_SERVICE_H_

#include "claim_service.h"
#include "config_service.h"
#include "node_context.h"
#include "quarantine_service.h"
#include "watcher_service.h"

namespace siskinrack::node {

/// Handles the requests on the admin port: /healthz, /readyz, /status, /upstreams, /timeline,
/// /metrics, /quarantine, and PUT /config, with which the operator program submits a configuration
/// version that the platform has accepted.
class admin_service {
 public:
  admin_service(node_context& context, config_service& configs, const watcher_service& watcher,
                claim_service& claims, quarantine_service& quarantine)
      : context_(context),
        configs_(configs),
        watcher_(watcher),
        claims_(claims),
        quarantine_(quarantine) {}

  /// Returns the response to one admin request.
  net::http_response Handle(const net::http_request& request);

 private:
  net::http_response MakeStatusPage() const;
  net::http_response MakeUpstreamsPage() const;
  net::http_response MakeTimelinePage() const;
  net::http_response HandleConfigUpload(const net::http_request& request);

  node_context& context_;
  config_service& configs_;
  const watcher_service& watcher_;
  claim_service& claims_;
  quarantine_service& quarantine_;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_ADMIN_SERVICE_H_
