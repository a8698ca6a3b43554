#ifndef SISKINRACK_LIB_MESH_MESH_CONTEXT_H_
#define SISKINRACK_LIB_MESH_MESH_CONTEXT_H_

#include <memory>

#include "objects_client.h"
#include "settings_file.h"
#include "siskinrack/net/fiber_runtime.h"
#include "siskinrack/net/http_client.h"
#include "siskinrack/net/peer.h"
#include "siskinrack/routing/endpoint_table.h"
#include "siskinrack/routing/route_table.h"
#include "siskinrack/support/event_log.h"
#include "siskinrack/support/hybrid_clock.h"
#include "siskinrack/support/metrics.h"

namespace siskinrack::mesh {

using route_table_ptr = std::shared_ptr<const routing::route_table>;

/// What the services of one node share. All of it is used on the one runtime thread, but for the
/// log, the counters and the atomic flags: a machine has a fraction of one core, where a second
/// thread would cost memory and gain nothing.
struct mesh_context {
  explicit mesh_context(fleet::machine_settings checked)
      : settings(std::move(checked)),
        log(settings.node_id, clock, support::log_level::kInfo, /*recent_events=*/0),
        peer{settings.node_id, &clock, &traffic, settings.ip},
        runtime(1),
        store(runtime, settings.store_address),
        upstream_client(runtime),
        peers(runtime, peer, {.dial_timeout = kPeerDialTimeout, .backoff_max = kPeerBackoffMax}) {}

  /// Version in force; 0 for none.
  [[nodiscard]] std::uint64_t version() const {
    return routes == nullptr ? 0 : routes->config().version;
  }

  /// Some round trips between failure domains; a machine without power gives no answer at all.
  static constexpr std::chrono::milliseconds kPeerDialTimeout{250};
  static constexpr std::chrono::milliseconds kPeerBackoffMax{800};

  fleet::machine_settings settings;
  support::hybrid_clock clock;
  support::event_log log;
  net::traffic_counters traffic;
  support::request_metrics requests;
  net::peer_context peer;
  net::fiber_runtime runtime;
  fleet::objects_client store;
  net::http_client upstream_client;
  net::peer_pool peers;
  routing::endpoint_table endpoints;
  /// The configuration in force; null before the first one.
  route_table_ptr routes;
  /// SIGTERM has come: the node is not ready any more.
  std::atomic<bool> stopping = false;
  /// New requests are refused as not run.
  std::atomic<bool> refusing = false;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_MESH_CONTEXT_H_
