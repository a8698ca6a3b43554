#ifndef SISKINRACK_LIB_NODE_NODE_CONTEXT_H_
#define SISKINRACK_LIB_NODE_NODE_CONTEXT_H_

#include <atomic>
#include <limits>
#include <mutex>

#include "config_holder.h"
#include "lease_reports.h"
#include "siskinrack/membership/member_table.h"
#include "siskinrack/net/fiber_runtime.h"
#include "siskinrack/net/http_client.h"
#include "siskinrack/net/limit_counters.h"
#include "siskinrack/net/peer.h"
#include "siskinrack/node/node_settings.h"
#include "siskinrack/platform/http_object_store.h"
#include "siskinrack/support/event_log.h"
#include "siskinrack/support/hybrid_clock.h"
#include "siskinrack/support/metrics.h"

namespace siskinrack::node {

/// Holds the objects that the services of one node share. Each member is thread-safe, and so are
/// the functions of the services except Start.
struct node_context {
  explicit node_context(node_settings checked)
      : settings(std::move(checked)),
        clock(std::chrono::microseconds(settings.clock_skew).count()),
        log(settings.node_id, clock, settings.log_level),
        memory(net::ComputeMemoryLimits(settings.memory_bytes)),
        client_limits([this](net::client_limit limit, std::uint64_t count) {
          log.Warn(
              "client_limited",
              {{"limit", net::ToText(limit)}, {"count", count}, {"charged_bytes", memory.used()}});
        }),
        peer{settings.node_id, &clock, &traffic, settings.source_ip, &memory},
        runtime(settings.threads),
        store(runtime, {.address = settings.platform_address,
                        .on_unreadable =
                            [this](std::string_view problem) {
                              log.Warn("object_unreadable", {{"findings", problem}});
                            }}),
        upstream_client(runtime, kMaxIdleUpstreamConnections,
                        std::numeric_limits<std::size_t>::max(), &memory),
        peers(runtime, peer) {}

  /// Covers the slots of one upstream.
  static constexpr std::size_t kMaxIdleUpstreamConnections = 64;

  node_settings settings;
  support::hybrid_clock clock;
  support::event_log log;
  net::traffic_counters traffic;
  support::request_metrics requests;
  net::memory_budget memory;
  net::limit_counters client_limits;
  net::peer_context peer;
  net::fiber_runtime runtime;
  platform::http_object_store store;
  net::http_client upstream_client;
  net::peer_pool peers;
  membership::member_table members;
  config_holder config;
  lease_reports watcher_lease_reports;
  /// Set when the drain period ends: new requests are refused with the outcome "not run".
  std::atomic<bool> refusing = false;
  /// Set when the drain period begins.
  std::atomic<bool> draining = false;
};

}  // namespace siskinrack::node

#endif  // SISKINRACK_LIB_NODE_NODE_CONTEXT_H_
