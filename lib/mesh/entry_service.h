#ifndef SISKINRACK_LIB_MESH_ENTRY_SERVICE_H_
#define SISKINRACK_LIB_MESH_ENTRY_SERVICE_H_

#include <map>
#include <random>
#include <set>
#include <string>

#include "crash_guard.h"
#include "endpoint_reaper.h"
#include "mesh_context.h"
#include "rollout_service.h"
#include "serving_service.h"
#include "siskinrack/balancing/call_placement.h"
#include "siskinrack/balancing/call_profile.h"
#include "siskinrack/balancing/selection.h"
#include "siskinrack/balancing/sharded_registry.h"
#include "siskinrack/routing/caller_wait.h"
#include "siskinrack/routing/retry_delay.h"
#include "tenant_gate.h"
#include "version_follower.h"

namespace siskinrack::mesh {

/// Accepts requests from the callers on this VM and sends them to upstreams of the service that the
/// active configuration selects.
class entry_service {
 public:
  entry_service(mesh_context& context, serving_service& serving, endpoint_reaper& reaper,
                crash_guard& crashes, tenant_gate& tenants, rollout_service& rollouts,
                version_follower& versions)
      : context_(context),
        serving_(serving),
        reaper_(reaper),
        crashes_(crashes),
        tenants_(tenants),
        rollouts_(rollouts),
        versions_(versions) {}

  /// Handles one request and returns the upstream's response or one made by this node: 404 if no
  /// route matches, 401 if the route needs an API key that the caller doesn't have, 503 if the
  /// request did not run, 502 or 504 if it may have run. May suspend the calling fiber.
  net::http_response Handle(net::http_request request, net::cancellation& cancel);

  /// Returns true if the request may run while earlier requests on its connection are unanswered:
  /// its caller sends it again if one of them closes the connection.
  [[nodiscard]] bool MayOverlap(const net::http_request& request) const;

  /// Discards the state of the previous configuration's routes. Must be called after each change of
  /// the active configuration, because the state is stored by the address of the route.
  void OnConfiguration();

 private:
  /// State of one request while it is handled.
  struct request_state {
    route_table_ptr routes;
    const routing::route* route = nullptr;
    std::string service;
    wire::call_request_t call;
    net::steady_time started;
    /// Time between the arrival of the request and the start of its handling.
    net::steady_time::duration waited{0};
    net::steady_time deadline;
    /// Time until which an answer is in time: the route's target latency after the start, less the
    /// estimated time for which the caller had waited before.
    net::steady_time in_time_by;
    /// When the caller times out; the route's timeout applies if the caller sets no deadline.
    net::steady_time caller_deadline;
    /// Number of serving nodes that had no capacity.
    std::uint32_t refusals = 0;
    /// Number of instances that may have run the request.
    std::uint32_t runs = 0;
    /// Number of instances that received the request, including those that rejected it.
    std::uint32_t arrivals = 0;
    /// Ids of the instances to which the request was sent.
    std::set<std::string> tried;
    /// Instance of the own failure domain where the call would wait for the shortest time, of those
    /// that refused it, and that time.
    std::optional<std::pair<std::string, std::chrono::milliseconds>> local_wait;
    /// Upstreams that the roll-out of the service allows.
    rollout::assignment rollout;
  };

  /// Endpoints of one service with their balancing state; rebuilt when the endpoint table changes.
  struct service_view {
    std::uint64_t generation = 0;
    routing::endpoint_list endpoints;
    std::vector<balancing::candidate> candidates;
  };

  const std::string& ChooseService(const routing::route& route);
  service_view& GetServiceView(const std::string& service);
  /// Records a departure and a limit that an answer reports, and whether the node of `target` was
  /// reached.
  void OnAnswer(const routing::endpoint& target, const wire::call_answer_t& answer);
  /// Sends the request to endpoints until it is answered or must not be sent again.
  wire::call_answer_t SendWithRetries(request_state& state, net::cancellation& cancel);
  /// Adds the answer to the profile of its route and the expected service time to `report`.
  void RecordProfile(const request_state& state, const wire::call_answer_t& answer,
                     balancing::call_report& report);
  /// Counts the failed attempt in `state`; returns true if another one is allowed.
  [[nodiscard]] bool AllowRetry(request_state& state, const wire::call_answer_t& answer);
  /// Records that the candidate refused the call because it would have to wait there.
  static void RecordRefusal(const balancing::candidate& refused, const std::string& instance_id,
                            const wire::call_answer_t& answer, request_state& state);
  /// Returns the index of an endpoint that was not tried yet, or of the one in `local_wait` if the
  /// call should rather wait there; std::nullopt if there is none. Sets whether the call may be
  /// redirected from it.
  std::optional<std::size_t> ChooseEndpoint(const service_view& view, request_state& state);
  wire::call_answer_t SendTo(const routing::endpoint& target, request_state& state,
                             net::cancellation& cancel);
  /// Converts the answer to a response; counts the request and logs it.
  net::http_response ToHttp(const request_state& state, wire::call_answer_t answer);
  /// Returns the response to a request that is refused before it has a route, and logs it.
  /// A `retry_after` of zero is replaced by a suitable one if the status permits a retry.
  net::http_response Refuse(const std::string& id, unsigned status, std::string_view reason,
                            std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));
  /// Returns the retry delay for a refused caller.
  std::chrono::milliseconds ComputeRetryDelay(const routing::refused_request& refused);
  /// Describes a request that was refused with `answer` for the choice of its retry delay.
  routing::refused_request MakeRefusedRequest(const request_state& state,
                                              const wire::call_answer_t& answer);

  mesh_context& context_;
  serving_service& serving_;
  endpoint_reaper& reaper_;
  crash_guard& crashes_;
  tenant_gate& tenants_;
  rollout_service& rollouts_;
  version_follower& versions_;
  std::map<std::string, service_view> views_;
  /// Start times of the departing and departed lifetimes by instance id. Their records may stay in
  /// the store while it is unavailable, and their nodes may forget the departure in a restart.
  std::map<std::string, std::int64_t> departed_;
  /// Limits in calls per second that upstreams named in their last answers, by lifetime. A serving
  /// node forgets the limit when it restarts.
  std::map<routing::lifetime, float> named_limits_;
  std::map<const routing::route*, routing::weighted_split> splits_;
  std::map<const routing::route*, routing::caller_wait> caller_waits_;
  /// Profiles by work class. They outlive a change of the configuration that keeps the route.
  std::map<std::uint64_t, balancing::call_profile> profiles_;
  std::map<std::string, routing::retry_share> retries_;
  std::uint64_t answered_ = 0;
  /// Number of requests refused because of the caller's tenant.
  std::uint64_t refused_ = 0;
  balancing::endpoint_tracker tracker_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ENTRY_SERVICE_H_
