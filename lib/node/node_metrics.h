#ifndef SISKINRACK_LIB_NODE_NODE_METRICS_H_
#define SISKINRACK_LIB_NODE_NODE_METRICS_H_

#include <functional>

#include "node_context.h"

namespace siskinrack::node {

/// Calls `handle`, counts the request by its rank, its latency and the outcome in its response, and
/// returns the response.
net::http_response HandleAndMeasure(
    node_context& context, net::http_request request,
    const std::function<net::http_response(net::http_request)>& handle);

/// Returns the body of the page /metrics.
std::string MakeMetricsPage(const node_context& context);

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_NODE_METRICS_H_
