#include "siskinrack/node/node.h"

#include <thread>

#include "admin_service.h"
#include "claim_service.h"
#include "config_service.h"
#include "entry_service.h"
#include "membership_service.h"
#include "node_context.h"
#include "node_metrics.h"
#include "quarantine_service.h"
#include "serving_service.h"
#include "siskinrack/net/head_responses.h"
#include "siskinrack/net/http_server.h"
#include "watcher_service.h"

namespace siskinrack::node {
namespace {

using std::chrono::milliseconds;

/// Equal to the maximum deadline of a request, so that no request is aborted by this limit.
constexpr milliseconds kMaxDrainWait{30'000};
constexpr milliseconds kDrainPoll{10};
constexpr std::int64_t kUsPerMs = 1000;
/// Time to send the announcement that the node has left and to receive requests that were sent
/// before it stopped accepting connections: a few round trips between failure domains.
constexpr milliseconds kDepartureWait{100};

void ReportListenError(std::string_view setting, const std::string& error,
                       support::findings& problems) {
  if (!error.empty()) problems.Add("--" + std::string(setting), error);
}

}  // namespace

class node::impl {
 public:
  explicit impl(node_settings settings)
      : context_(std::move(settings)),
        quarantine_(context_),
        claims_(context_),
        serving_(context_, quarantine_),
        entry_(context_, serving_, claims_, quarantine_),
        configs_(context_,
                 [this](std::uint64_t version) { membership_.PublishServedVersion(version); }),
        membership_(context_, serving_,
                    [this](const support::socket_address& peer, std::uint64_t version) {
                      configs_.OnPeerVersion(peer, version);
                    }),
        watcher_(context_, configs_,
                 [this](const std::vector<support::socket_address>& peers) {
                   membership_.AddSeeds(peers);
                 }),
        admin_(context_, configs_, watcher_, claims_, quarantine_),
        caller_server_(
            context_.runtime, {.address = context_.settings.caller_address},
            net::OmitHeadBodies([this](net::http_request request, net::cancellation& cancel) {
              return HandleAndMeasure(context_, std::move(request),
                                      [&](net::http_request measured) {
                                        return entry_.Handle(std::move(measured), cancel);
                                      });
            })),
        admin_server_(context_.runtime, {.address = context_.settings.admin_address},
                      [this](const net::http_request& request, net::cancellation&) {
                        return admin_.Handle(request);
                      }),
        peer_server_(context_.runtime, context_.peer, {.address = context_.settings.peer_address},
                     [this](const wire::envelope_t& message, net::cancellation& cancel) {
                       return HandlePeer(message, cancel);
                     }) {}

  void Start(support::findings& problems) {
    context_.clock.SetRefusalHandler([&log = context_.log](std::int64_t ahead_us) {
      log.Warn("clock_time_refused", {{"ahead_ms", ahead_us / kUsPerMs},
                                      {"max_ms", support::hybrid_clock::kMaxAheadUs / kUsPerMs}});
    });
    ReportListenError("caller-address", caller_server_.Start(), problems);
    ReportListenError("admin-address", admin_server_.Start(), problems);
    ReportListenError("peer-address", peer_server_.Start(), problems);
    if (!problems.empty()) return;
    const node_settings& settings = context_.settings;
    context_.log.Info("listening", {{"caller_port", caller_server_.port()},
                                    {"admin_port", admin_server_.port()},
                                    {"peer_port", peer_server_.port()},
                                    {"failure_domain", settings.failure_domain}});
    configs_.Start();
    claims_.Start();
    membership_.Start({settings.peer_address.ip, peer_server_.port()},
                      {settings.admin_address.ip, admin_server_.port()});
    watcher_.Start();
  }

  void Drain() {
    context_.draining = true;
    context_.log.Info("drain_started", {{"drain_ms", context_.settings.drain_period.count()}});
    membership_.AnnounceState(wire::upstream_state::draining);
    std::this_thread::sleep_for(context_.settings.drain_period);
    context_.refusing = true;
    caller_server_.Drain();
    const auto end = std::chrono::steady_clock::now() + kMaxDrainWait;
    WaitForAnswers(end);
    caller_server_.StopAccepting();
    membership_.AnnounceState(wire::upstream_state::left);
    // Requests that were already sent are still read and refused.
    std::this_thread::sleep_for(kDepartureWait);
    WaitForAnswers(end);
    context_.log.Info("drain_finished", {{"in_flight", serving_.in_flight()}});
  }

 private:
  /// Waits until no request is in progress and all answers are written to callers and peers, but
  /// not beyond `end`.
  void WaitForAnswers(std::chrono::steady_clock::time_point end) {
    while (caller_server_.in_flight() + serving_.in_flight() + context_.peer.unwritten_answers >
               0 &&
           std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kDrainPoll);
    }
  }

  std::optional<wire::envelope_t> HandlePeer(const wire::envelope_t& message,
                                             net::cancellation& cancel) {
    if (const auto* call = message.message.Ascall_request()) {
      return wire::MakeEnvelope(serving_.Serve(*call, cancel));
    }
    if (quarantine_.Handle(message)) return std::nullopt;
    if (auto reply = claims_.Handle(message, cancel)) return reply;
    if (auto reply = membership_.Handle(message)) return reply;
    return configs_.Handle(message);
  }

  node_context context_;
  quarantine_service quarantine_;
  claim_service claims_;
  serving_service serving_;
  entry_service entry_;
  config_service configs_;
  membership_service membership_;
  watcher_service watcher_;
  admin_service admin_;
  net::http_server caller_server_;
  net::http_server admin_server_;
  net::peer_server peer_server_;
};

node::node(node_settings settings) : impl_(std::make_unique<impl>(std::move(settings))) {}

node::~node() = default;

void node::Start(support::findings& problems) { impl_->Start(problems); }

void node::Drain() { impl_->Drain(); }

}  // namespace siskinrack::node
