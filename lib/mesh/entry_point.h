#ifndef SISKINRACK_LIB_MESH_ENTRY_POINT_H_
#define SISKINRACK_LIB_MESH_ENTRY_POINT_H_

#include <map>
#include <random>
#include <set>
#include <string>

#include "crash_guard.h"
#include "endpoint_reaper.h"
#include "mesh_context.h"
#include "serving_point.h"
#include "siskinrack/balancing/endpoint_tracker.h"
#include "siskinrack/balancing/selection.h"
#include "siskinrack/routing/caller_wait.h"

namespace siskinrack::mesh {

/// Takes the requests of the callers on this machine and has them served by an upstream of the
/// service that the configuration in force names.
class entry_point {
 public:
  entry_point(mesh_context& context, serving_point& serving, endpoint_reaper& reaper,
              crash_guard& crashes)
      : context_(context), serving_(serving), reaper_(reaper), crashes_(crashes) {}

  /// Answers one request. May suspend the calling fiber.
  net::http_response Handle(net::http_request request, net::cancellation& cancel);

  /// The configuration has changed.
  void OnConfiguration();

 private:
  /// One request on its way.
  struct request_state {
    route_table_ptr routes;
    const routing::route* route = nullptr;
    std::string service;
    wire::call_request_t call;
    net::steady_time started;
    net::steady_time end;
    /// Until then an answer has its full worth.
    net::steady_time in_time_by;
    /// When the caller gives up, as far as it said so.
    net::steady_time caller_end;
    /// Serving nodes that had no capacity.
    std::uint32_t refusals = 0;
    /// Instances that may have run the request.
    std::uint32_t runs = 0;
    /// Arrivals at an instance, also rejected ones.
    std::uint32_t arrivals = 0;
    std::set<std::string> tried;
  };

  /// Endpoints of one service with their states, made again when the endpoint table changes.
  struct service_view {
    std::uint64_t generation = 0;
    routing::endpoint_list endpoints;
    std::vector<balancing::candidate> candidates;
  };

  const std::string& ChooseService(const routing::route& route);
  service_view& View(const std::string& service);
  /// Learns from the answer of an endpoint's node.
  void OnAnswer(const routing::endpoint& target, const wire::call_answer_t& answer);
  /// Sends the request to upstreams until it is answered or may not be sent again.
  wire::call_answer_t Run(request_state& state, net::cancellation& cancel);
  [[nodiscard]] bool MayGoOn(request_state& state, const wire::call_answer_t& answer);
  /// Index of an endpoint that was not tried; nothing if there is none.
  std::optional<std::size_t> Choose(const service_view& view, const request_state& state);
  wire::call_answer_t Send(const routing::endpoint& target, request_state& state,
                           net::cancellation& cancel);
  net::http_response ToHttp(const request_state& state, wire::call_answer_t answer);
  net::http_response Refuse(const std::string& id, unsigned status, std::string_view reason);
  /// Pause for a caller that is refused and has `left` to wait.
  std::chrono::milliseconds RetryAfter(std::chrono::milliseconds left);

  mesh_context& context_;
  serving_point& serving_;
  endpoint_reaper& reaper_;
  crash_guard& crashes_;
  std::map<std::string, service_view> views_;
  /// Lifetimes that announced their departure, by the start of the upstream; their records may stay
  /// in the store while it is away.
  std::map<std::string, std::int64_t> departed_;
  std::map<const routing::route*, routing::weighted_split> splits_;
  std::map<const routing::route*, routing::caller_wait> waits_;
  std::map<std::string, routing::retry_share> retries_;
  std::uint64_t answered_ = 0;
  balancing::endpoint_tracker tracker_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ENTRY_POINT_H_
