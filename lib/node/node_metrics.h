#ifndef SISKINRACK_LIB_NODE_NODE_METRICS_H_
#define SISKINRACK_LIB_NODE_NODE_METRICS_H_

#include <functional>

#include "node_context.h"

namespace siskinrack::node {

/// Runs `handle` and counts the request by the outcome in its response, its rank and its latency.
net::http_response Measure(node_context& context, net::http_request request,
                           const std::function<net::http_response(net::http_request)>& handle);

/// The page /metrics.
std::string MetricsPage(const node_context& context);

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_NODE_METRICS_H_
