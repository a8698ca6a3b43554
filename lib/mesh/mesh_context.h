#ifndef SISKINRACK_LIB_MESH_MESH_CONTEXT_H_
#define SISKINRACK_LIB_MESH_MESH_CONTEXT_H_

#include <memory>
#include <optional>

#include "objects_client.h"
#include "settings_file.h"
#include "siskinrack/admission/shutdown_schedule.h"
#include "siskinrack/net/cancellation.h"
#include "siskinrack/net/fiber_runtime.h"
#include "siskinrack/net/http_client.h"
#include "siskinrack/net/limit_counters.h"
#include "siskinrack/net/link_pacer.h"
#include "siskinrack/net/peer.h"
#include "siskinrack/routing/endpoint_table.h"
#include "siskinrack/routing/route_table.h"
#include "siskinrack/support/event_log.h"
#include "siskinrack/support/hybrid_clock.h"
#include "siskinrack/support/metrics.h"
#include "siskinrack/tenancy/knowledge_proof.h"
#include "siskinrack/tenancy/node_history.h"
#include "unreadable_objects.h"

namespace siskinrack::mesh {

using route_table_ptr = std::shared_ptr<const routing::route_table>;

/// Holds the state that the services of one node share. Apart from the log, the counters and the
/// atomic flags, it is used only on the single runtime thread: a VM has a fraction of one core,
/// where a second thread would cost memory without a gain.
struct mesh_context {
  explicit mesh_context(platform_adapter::machine_settings checked)
      : settings(std::move(checked)),
        log(settings.node_id, clock, support::log_level::kInfo, /*recent_events=*/0),
        memory(net::ComputeMemoryLimits(settings.memory_bytes)),
        client_limits([this](net::client_limit limit, std::uint64_t count) {
          log.Warn(
              "client_limited",
              {{"limit", net::ToText(limit)}, {"count", count}, {"charged_bytes", memory.used()}});
        }),
        peer{settings.node_id, &clock, &traffic, settings.ip, &memory},
        runtime(1),
        store(runtime, settings.store_address),
        upstream_client(runtime, kMaxIdleUpstreamConnections,
                        settings.memory_bytes / kResponseMemoryDivisor, &memory),
        peers(runtime, peer, {.dial_timeout = kPeerDialTimeout, .backoff_max = kPeerBackoffMax}) {
    if (settings.link_bytes_per_second > 0) {
      pacer.emplace(settings.link_bytes_per_second);
      peer.pacer = &*pacer;
    }
  }

  /// Returns the active configuration version, or 0 if there is none.
  [[nodiscard]] std::uint64_t version() const {
    return routes == nullptr ? 0 : routes->config().version;
  }

  /// Returns true if API keys may be used: the bound on the age of the configuration, if there is
  /// one, is kept.
  [[nodiscard]] bool HasCurrentKeys() const {
    return settings.revocation_limit.count() == 0 ||
           config_proof.IsYounger(settings.revocation_limit * kProofAgePercent / 100,
                                  support::boot_clock::now());
  }

  /// Age that the proof may have, as a part of the bound on removed API keys. The rest covers the
  /// difference between the clocks of the machine and of the operator.
  static constexpr int kProofAgePercent = 90;

  /// Enough for a few round trips between failure domains. A VM without power does not reply to a
  /// dial, not even with a refusal.
  static constexpr std::chrono::milliseconds kPeerDialTimeout{250};
  static constexpr std::chrono::milliseconds kPeerBackoffMax{800};

  static constexpr std::size_t kMaxIdleUpstreamConnections = 64;
  /// Response bodies that are being received take at most the memory of the VM divided by this
  /// number. They are copied into a frame for the entry node when they are complete.
  static constexpr std::size_t kResponseMemoryDivisor = 8;

  platform_adapter::machine_settings settings;
  support::hybrid_clock clock;
  support::event_log log;
  net::traffic_counters traffic;
  support::request_metrics requests;
  net::memory_budget memory;
  net::limit_counters client_limits;
  unreadable_objects unreadable{log};
  /// Empty if the capacity of the network link is unknown.
  std::optional<net::link_pacer> pacer;
  net::peer_context peer;
  net::fiber_runtime runtime;
  platform_adapter::objects_client store;
  net::http_client upstream_client;
  net::peer_pool peers;
  routing::endpoint_table endpoints;
  /// The active configuration; null before the first one.
  route_table_ptr routes;
  /// Proves the age of `routes`.
  tenancy::knowledge_proof config_proof;
  /// Proved lists of the nodes that may own usage caps.
  tenancy::node_history cap_nodes;
  /// Set on SIGTERM: the node reports that it is not ready.
  std::atomic<bool> stopping = false;
  /// Set on SIGTERM.
  std::optional<admission::shutdown_schedule> shutdown;
  /// Cancelled shortly before the exit: requests that are open at other nodes are withdrawn there,
  /// and each of those nodes replies whether the request has run.
  net::cancellation recall;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_MESH_CONTEXT_H_
