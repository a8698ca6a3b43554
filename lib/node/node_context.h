#ifndef SISKINRACK_LIB_NODE_NODE_CONTEXT_H_
#define SISKINRACK_LIB_NODE_NODE_CONTEXT_H_

#include <atomic>
#include <mutex>

#include "config_holder.h"
#include "lease_reports.h"
#include "siskinrack/membership/member_table.h"
#include "siskinrack/net/fiber_runtime.h"
#include "siskinrack/net/http_client.h"
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
        peer{settings.node_id, &clock, &traffic, settings.source_ip},
        runtime(settings.threads),
        store(runtime, {.address = settings.platform_address,
                        .on_unreadable =
                            [this](std::string_view problem) {
                              log.Warn("object_unreadable", {{"findings", problem}});
                            }}),
        upstream_client(runtime),
        peers(runtime, peer) {}

  node_settings settings;
  support::hybrid_clock clock;
  support::event_log log;
  net::traffic_counters traffic;
  support::request_metrics requests;
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
