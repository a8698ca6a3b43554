#include "siskinrack/mesh/mesh_node.h"

#include <thread>

#include "answer_link.h"
#include "call_answers.h"
#include "cap_service.h"
#include "cap_suspension.h"
#include "config_consumer.h"
#include "crash_guard.h"
#include "endpoint_consumer.h"
#include "entry_service.h"
#include "freshness_keeper.h"
#include "instance_codec.h"
#include "mesh_context.h"
#include "object_feed.h"
#include "registration.h"
#include "rollout_codec.h"
#include "rollout_service.h"
#include "serving_service.h"
#include "siskinrack/net/head_responses.h"
#include "siskinrack/net/http_server.h"
#include "store_monitor.h"
#include "tenant_gate.h"
#include "version_follower.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned kStatusOk = 200;
constexpr milliseconds kDrainPollInterval{20};
/// Time without a call of another node before the exit: several round trips between failure
/// domains.
constexpr milliseconds kQuietTime{60};
/// The largest accepted body is the memory of the VM divided by this number. A body is held in
/// memory several times: as read from the caller, as a frame, and as received by the other node. A
/// few bodies at once have to fit into the memory of a small VM.
constexpr std::size_t kBodyMemoryDivisor = 16;
/// Descriptors that the platform keeps for files.
constexpr std::size_t kFileDescriptors = 200;
/// Part of the other descriptors that is for connections of callers, in percent. The rest is for
/// the store, the upstream and links to other nodes.
constexpr std::size_t kCallerDescriptorPercent = 75;
constexpr std::size_t kPercent = 100;
/// Limit of the connections to each port that only the platform and the local upstream use.
constexpr std::size_t kMaxLocalConnections = 32;
/// Pause after a watch call that returned changes, as a fraction of the time within which these
/// must have an effect; changes made in the pause arrive in one call. Leaves the rest for the call
/// itself, one repetition of it and the activation.
constexpr double kWatchPauseFraction = 0.4;

/// Time for the reply to a probe that another node asked for.
constexpr milliseconds kRelayedProbeTimeout{400};
/// Wait of the watch calls of a prover: an answer is at least that old when it arrives.
constexpr milliseconds kProverWatchWait{1'000};

milliseconds ComputeWatchPause(milliseconds limit) {
  return std::chrono::duration_cast<milliseconds>(limit * kWatchPauseFraction);
}

/// Returns the time for which a version that another node has may take to arrive: a pause of the
/// feed, and a quarter of one for its call.
milliseconds ComputePeerDelay(milliseconds limit) {
  constexpr double kCallPart = 0.25;
  return std::chrono::duration_cast<milliseconds>(ComputeWatchPause(limit) * (1 + kCallPart));
}

std::size_t CountCallerConnections(const platform_adapter::machine_settings& settings) {
  return (settings.max_descriptors - kFileDescriptors) * kCallerDescriptorPercent / kPercent;
}

}  // namespace

std::optional<std::string> FindPlatformSettingsPath() {
  return platform_adapter::FindSettingsPath();
}

class mesh_node::impl {
 public:
  impl(std::string path, platform_adapter::machine_settings settings)
      : path_(std::move(path)),
        context_(std::move(settings)),
        registration_(context_),
        crashes_(context_),
        rollouts_(context_, registration_, [this] { return serving_.in_flight(); }),
        serving_(context_, registration_, crashes_, rollouts_.counter()),
        reaper_(context_),
        suspension_(
            context_, [this] { registration_.Rewrite(); },
            [this] { endpoint_feed_.Verify(platform_adapter::read_freshness::kCurrent); }),
        caps_(context_,
              {.suspend = [this](const std::string& node) { suspension_.Suspend(node); },
               .read_nodes =
                   [this] { endpoint_feed_.Verify(platform_adapter::read_freshness::kCurrent); }}),
        tenants_(context_, caps_),
        versions_(context_, ComputePeerDelay(context_.settings.activation_limit),
                  [this] { return config_feed_.ReadPolled(); }),
        entry_(context_, serving_, reaper_, crashes_, tenants_, rollouts_, versions_),
        configs_(context_, [this] { OnConfiguration(); }),
        endpoints_(
            context_,
            [this](const std::string& id, std::uint64_t revision) {
              registration_.OnOwnRecord(id, revision);
            },
            [this](const routing::endpoint& departed, std::uint64_t revision) {
              registration_.OnDepartureRecord(departed, revision);
              reaper_.OnDeparture(departed, revision);
            },
            [this](const std::string& id) { reaper_.OnNoDeparture(id); }),
        config_feed_(context_, platform_adapter::kConfigurationKind,
                     platform_adapter::read_freshness::kCurrent, configs_,
                     ComputeWatchPause(context_.settings.activation_limit),
                     platform_adapter::kConfigurationName),
        endpoint_feed_(context_, kEndpointKind, platform_adapter::read_freshness::kMayBeStale,
                       endpoints_,
                       ComputeWatchPause(std::min(context_.settings.activation_limit,
                                                  context_.settings.drain_period))),
        rollout_feed_(context_, platform_adapter::kRolloutKind,
                      platform_adapter::read_freshness::kCurrent, rollouts_.consumer(),
                      milliseconds(0)),
        monitor_(context_.settings.activation_limit / 2, config_feed_, endpoint_feed_,
                 rollout_feed_),
        freshness_(context_, MakeFreshnessSources()),
        caller_server_(
            context_.runtime, MakeCallerOptions(),
            net::OmitHeadBodies([this](net::http_request request, net::cancellation& cancel) {
              return entry_.Handle(std::move(request), cancel);
            })),
        ready_server_(context_.runtime,
                      MakeServerOptions(context_.settings.ready_address, kMaxLocalConnections),
                      [this](const net::http_request& request, net::cancellation&) {
                        return HandleReady(request);
                      }),
        heartbeat_server_(
            context_.runtime,
            MakeServerOptions(context_.settings.heartbeat_address, kMaxLocalConnections),
            [this](const net::http_request& request, net::cancellation&) {
              return registration_.Handle(request);
            }),
        metrics_server_(context_.runtime,
                        MakeServerOptions(context_.settings.metrics_address, kMaxLocalConnections),
                        [this](const net::http_request& request, net::cancellation&) {
                          return HandleMetrics(request);
                        }),
        peer_server_(context_.runtime, context_.peer, {.address = context_.settings.peer_address},
                     [this](const wire::envelope_t& message, net::cancellation& cancel) {
                       return HandlePeer(message, cancel);
                     }) {}

  void Start(support::findings& problems) {
    Listen("caller", caller_server_, problems);
    Listen("ready", ready_server_, problems);
    Listen("heartbeat", heartbeat_server_, problems);
    Listen("metrics", metrics_server_, problems);
    Listen("peer", peer_server_, problems);
    if (!problems.empty()) return;
    context_.log.Info("started", {{"zone", context_.settings.zone},
                                  {"service", context_.settings.service},
                                  {"caller_address", context_.settings.caller_address.ToText()},
                                  {"store", context_.settings.store_address.ToText()}});
    // Where tenants may have caps, a node that starts can grant tokens the sooner.
    if (!(context_.settings.caps == tenancy::cap_tolerance{})) endpoint_feed_.SetProvingLists();
    context_.runtime.Post(0, [this] { config_feed_.Run(); });
    context_.runtime.Post(0, [this] { endpoint_feed_.Run(); });
    if (context_.settings.rollouts) {
      context_.runtime.Post(0, [this] { rollout_feed_.Run(); });
      context_.runtime.Post(0, [this] { rollouts_.judging().Run(); });
    }
    context_.runtime.Post(0, [this] { registration_.Run(); });
    context_.runtime.Post(0, [this] { monitor_.Run(); });
    context_.runtime.Post(0, [this] { freshness_.Run(); });
    context_.runtime.Post(0, [this] { caps_.Run(); });
    context_.runtime.Post(0, [this] { suspension_.Run(); });
    context_.runtime.Post(0, [this] { reaper_.Run(); });
    context_.runtime.Post(0, [this] { crashes_.Run(); });
  }

  void Reload() {
    support::findings problems;
    const platform_adapter::machine_settings next = platform_adapter::ReadSettings(path_, problems);
    if (!problems.empty()) {
      context_.log.Warn("reload_rejected", {{"findings", problems.ToText()}});
      return;
    }
    context_.log.Info("reloaded", {{"changed", !(next == context_.settings)}});
  }

  void Drain() {
    std::optional<milliseconds> check_interval;
    context_.runtime.Run(0, [&] { check_interval = check_interval_; });
    const admission::shutdown_schedule schedule(steady_clock::now(), context_.settings.grace_period,
                                                context_.settings.drain_period, check_interval);
    context_.stopping = true;
    context_.runtime.Run(0, [&] { context_.shutdown = schedule; });
    context_.log.Info("drain_started", {{"in_flight", CountOpenRequests()}});
    caller_server_.Drain();
    std::this_thread::sleep_until(schedule.peer_refusal());
    serving_.StopServing();
    AwaitCallerRefusal();
    caller_server_.CloseIdle();
    AwaitOpenRequests(schedule.recall());
    if (CountOpenRequests() > 0) {
      context_.log.Info("recall_started", {{"in_flight", CountOpenRequests()}});
      context_.runtime.Run(0, [this] { context_.recall.Cancel(); });
    }
    AwaitQuiet(schedule.exit());
    context_.log.Info("stopped", {{"in_flight", CountOpenRequests()}});
  }

 private:
  template <typename Server>
  static void Listen(std::string_view name, Server& server, support::findings& problems) {
    const std::string error = server.Start();
    if (!error.empty()) problems.Add(std::string(name) + " address", error);
  }

  net::http_server_options MakeServerOptions(const support::socket_address& address,
                                             std::size_t max_connections) {
    net::http_server_options options;
    options.address = address;
    options.max_connections = max_connections;
    options.memory = &context_.memory;
    options.client_limits = &context_.client_limits;
    return options;
  }

  freshness_sources MakeFreshnessSources() {
    constexpr auto kCurrent = platform_adapter::read_freshness::kCurrent;
    return {.read_configuration = [this] { return config_feed_.Verify(kCurrent).has_value(); },
            .read_nodes = [this] { return endpoint_feed_.Verify(kCurrent).has_value(); },
            .set_proving =
                [this](bool configuration, bool nodes) {
                  config_feed_.SetProving(configuration, kProverWatchWait);
                  endpoint_feed_.SetProving(nodes, kProverWatchWait);
                }};
  }

  net::http_server_options MakeCallerOptions() {
    net::http_server_options options = MakeServerOptions(context_.settings.caller_address,
                                                         CountCallerConnections(context_.settings));
    options.may_overlap = [this](const net::http_request& request) {
      return entry_.MayOverlap(request);
    };
    return options;
  }

  [[nodiscard]] std::size_t CountOpenRequests() const {
    return caller_server_.in_flight() + serving_.in_flight() + context_.peer.unwritten_answers;
  }

  /// Blocks until callers are refused, which depends on the platform's checks.
  void AwaitCallerRefusal() {
    auto refusal = net::steady_time::max();
    while (steady_clock::now() < refusal) {
      context_.runtime.Run(0, [&] { refusal = context_.shutdown->caller_refusal(); });
      std::this_thread::sleep_until(std::min(refusal, steady_clock::now() + kDrainPollInterval));
    }
  }

  /// Blocks until no request is open, but not longer than until `end`.
  void AwaitOpenRequests(net::steady_time end) const {
    while (CountOpenRequests() > 0 && steady_clock::now() < end) {
      std::this_thread::sleep_for(kDrainPollInterval);
    }
  }

  /// Blocks until no request is open and no call has arrived for a while, but not longer than until
  /// `end`. A call that is unread at the exit resets its link, and with it the answers that the
  /// other node has not read.
  void AwaitQuiet(net::steady_time end) const {
    do {
      AwaitOpenRequests(end);
      std::this_thread::sleep_until(std::min(end, serving_.last_call() + kQuietTime));
    } while (steady_clock::now() < end &&
             (CountOpenRequests() > 0 || steady_clock::now() < serving_.last_call() + kQuietTime));
  }

  void OnConfiguration() {
    net::http_limits limits = context_.routes->config().limits;
    limits.body_bytes =
        std::min({limits.body_bytes, context_.settings.memory_bytes / kBodyMemoryDivisor,
                  net::kMaxResponseBytes});
    caller_server_.SetLimits(limits);
    entry_.OnConfiguration();
    caps_.OnConfiguration();
  }

  net::http_response HandleReady(const net::http_request& request) {
    if (!platform_adapter::IsReadinessCheck(request)) return {kStatusNotFound, {}, {}};
    const auto now = steady_clock::now();
    if (context_.shutdown) context_.shutdown->OnNotReady(now);
    if (last_check_) check_interval_ = std::chrono::duration_cast<milliseconds>(now - *last_check_);
    last_check_ = now;
    const bool ready = !context_.stopping && context_.routes != nullptr &&
                       endpoint_feed_.listed() && rollouts_.IsReady();
    return {ready ? kStatusOk : kStatusUnavailable, {}, {}};
  }

  net::http_response HandleMetrics(const net::http_request& request) {
    if (request.target != "/metrics") return {kStatusNotFound, {}, {}};
    support::metrics_page page;
    page.Append(context_.requests.ToText());
    page.AddMetric("siskinrack_platform_calls_total", "counter", "calls to the platform's store");
    const auto calls = [this](platform::call_class kind) {
      return static_cast<double>(context_.store.calls(kind));
    };
    page.AddSample("siskinrack_platform_calls_total", {{"class", "read"}},
                   calls(platform::call_class::kRead));
    page.AddSample("siskinrack_platform_calls_total", {{"class", "write"}},
                   calls(platform::call_class::kWrite));
    page.AddSample("siskinrack_platform_calls_total", {{"class", "watch"}},
                   calls(platform::call_class::kWatch));
    page.AddMetric("siskinrack_config_version", "gauge", "active configuration version");
    page.AddSample("siskinrack_config_version", {}, static_cast<double>(context_.version()));
    page.AddMetric("siskinrack_endpoints", "gauge", "endpoints in the platform's store");
    page.AddSample("siskinrack_endpoints", {},
                   static_cast<double>(context_.endpoints.All().size()));
    if (const auto proved_at = context_.config_proof.proved_at()) {
      const std::chrono::duration<double> age = support::boot_clock::now() - *proved_at;
      page.AddMetric("siskinrack_config_proof_age_seconds", "gauge",
                     "time since the configuration was last known to be the newest");
      page.AddSample("siskinrack_config_proof_age_seconds", {}, age.count());
    }
    if (const auto proved_at = context_.cap_nodes.proved_at()) {
      const std::chrono::duration<double> age = support::boot_clock::now() - *proved_at;
      page.AddMetric(
          "siskinrack_cap_nodes_proof_age_seconds", "gauge",
          "time since the list of nodes that may own caps was last known to be the newest");
      page.AddSample("siskinrack_cap_nodes_proof_age_seconds", {}, age.count());
    }
    tenants_.AddMetrics(page);
    context_.unreadable.AppendMetrics(page);
    page.AddMetric("siskinrack_requests_left_early_total", "counter",
                   "requests whose callers left before their handling began");
    page.AddSample("siskinrack_requests_left_early_total", {},
                   static_cast<double>(caller_server_.left_early()));
    page.AddMetric("siskinrack_log_lines_dropped_total", "counter",
                   "log lines that were not written");
    page.AddSample("siskinrack_log_lines_dropped_total", {},
                   static_cast<double>(context_.log.dropped()));
    page.AddMetric("siskinrack_rollout_phase", "gauge",
                   "phase of a roll-out: 0 trial, 1 cut-over, 2 done, 3 rolled back");
    for (const auto& [service, entry] : rollouts_.book().entries()) {
      page.AddSample("siskinrack_rollout_phase",
                     {{"service", service}, {"version", entry.ordered.target_version}},
                     static_cast<double>(entry.current));
    }
    page.AddMetric("siskinrack_resident_bytes", "gauge", "resident memory");
    page.AddSample("siskinrack_resident_bytes", {}, support::GetProcessResidentBytes());
    if (context_.pacer) {
      page.AddMetric("siskinrack_link_wait_seconds", "gauge",
                     "time for which a large answer would wait for the network link");
      const std::chrono::duration<double> wait = context_.pacer->EstimateWait();
      page.AddSample("siskinrack_link_wait_seconds", {}, wait.count());
    }
    net::AddLimitMetrics(page, context_.memory, context_.client_limits);
    return {kStatusOk, {{"Content-Type", "text/plain"}}, page.text()};
  }

  /// Returns true if another node replies to a probe.
  bool Probe(const std::string& node) {
    const auto address = support::ParseSocketAddress(node);
    if (!address) return false;
    const auto result =
        context_.peers.Request(*address, wire::MakeEnvelope(wire::probe_request_t{}),
                               steady_clock::now() + kRelayedProbeTimeout);
    return result.reply != nullptr;
  }

  std::optional<wire::envelope_t> HandlePeer(const wire::envelope_t& message,
                                             net::cancellation& cancel) {
    if (const auto* probe = message.message.Asprobe_request()) {
      wire::probe_reply_t reply;
      reply.target = probe->target;
      reply.reachable = probe->target.empty() || Probe(probe->target);
      return wire::MakeEnvelope(std::move(reply));
    }
    if (const auto* freshness = message.message.Asfreshness_request()) {
      return wire::MakeEnvelope(freshness_.MakeReply(*freshness));
    }
    if (const auto* tokens = message.message.Astoken_request()) {
      return wire::MakeEnvelope(caps_.OnRequest(*tokens));
    }
    if (const auto* evidence = message.message.Ascrash_evidence()) {
      return wire::MakeEnvelope(crashes_.OnEvidence(*evidence, message.correlation_id != 0));
    }
    if (message.message.Ascrash_history_request() != nullptr) {
      return wire::MakeEnvelope(crashes_.MakeHistory());
    }
    if (const auto* report = message.message.Asrollout_report()) {
      return wire::MakeEnvelope(rollouts_.judging().OnReport(*report));
    }
    if (const auto* verdict = message.message.Asrollout_verdict()) {
      rollouts_.judging().OnVerdict(*verdict);
      return std::nullopt;
    }
    const auto* call = message.message.Ascall_request();
    if (call == nullptr) return std::nullopt;
    versions_.OnSeen(call->config_version);
    wire::call_answer_t answer = serving_.Serve(*call, cancel, answer_link_.FindRefusal(*call));
    answer_link_.OnAnswer(*call, answer);
    return wire::MakeEnvelope(std::move(answer));
  }

  std::string path_;
  /// Time of the platform's last readiness check, and its distance from the one before.
  std::optional<net::steady_time> last_check_;
  std::optional<milliseconds> check_interval_;
  mesh_context context_;
  registration registration_;
  crash_guard crashes_;
  rollout_service rollouts_;
  serving_service serving_;
  answer_link answer_link_{context_};
  endpoint_reaper reaper_;
  cap_suspension suspension_;
  cap_service caps_;
  tenant_gate tenants_;
  version_follower versions_;
  entry_service entry_;
  config_consumer configs_;
  endpoint_consumer endpoints_;
  object_feed<config_consumer> config_feed_;
  object_feed<endpoint_consumer> endpoint_feed_;
  object_feed<rollout_consumer> rollout_feed_;
  store_monitor<object_feed<config_consumer>, object_feed<endpoint_consumer>,
                object_feed<rollout_consumer>>
      monitor_;
  freshness_keeper freshness_;
  net::http_server caller_server_;
  net::http_server ready_server_;
  net::http_server heartbeat_server_;
  net::http_server metrics_server_;
  net::peer_server peer_server_;
};

mesh_node::mesh_node(std::string settings_path, support::findings& problems) {
  platform_adapter::machine_settings settings =
      platform_adapter::ReadSettings(settings_path, problems);
  if (problems.empty()) {
    impl_ = std::make_unique<impl>(std::move(settings_path), std::move(settings));
  }
}

mesh_node::~mesh_node() = default;

void mesh_node::Start(support::findings& problems) { impl_->Start(problems); }
void mesh_node::Reload() { impl_->Reload(); }
void mesh_node::Drain() { impl_->Drain(); }

}  // namespace siskinrack::mesh
