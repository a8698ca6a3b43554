#include "entry_service.h"

#include <algorithm>
#include <cmath>

#include "call_answers.h"
#include "request_codec.h"
#include "siskinrack/balancing/scoped_call.h"
#include "siskinrack/net/wire_fields.h"

namespace siskinrack::mesh {
namespace {

using balancing::call_outcome;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using wire::answer_cause;
using wire::outcome_kind;

/// Time for the serving node's answer to arrive after the deadline.
constexpr milliseconds kAnswerMargin{150};
/// A request with less time left isn't sent to another endpoint: the answer would arrive too late.
constexpr milliseconds kMinTimeForRetry{20};
/// Remaining time assumed for a request that is refused before its deadline is evaluated.
constexpr milliseconds kDefaultRemainingTime{1'000};
/// Timeout of routes that set none. The timeout of the route is also the deadline of callers that
/// set none.
constexpr milliseconds kDefaultTimeout{30'000};
/// Maximum number of upstreams whose named limit is stored; when it is reached, all are discarded.
/// Bounds memory, because upstreams are replaced.
constexpr std::size_t kMaxNamedLimits = 1'024;
/// One in this many answered requests is logged; every failure is.
constexpr std::uint64_t kAnsweredLogInterval = 100;
/// One in this many requests that are refused because of their tenant is logged.
constexpr std::uint64_t kRefusedLogInterval = 100;

call_outcome ToCallOutcome(const wire::call_answer_t& answer, bool cancelled) {
  if (cancelled) return call_outcome::kAbandoned;
  switch (answer.cause) {
    case answer_cause::none:
      return answer.status >= kFirstServerError ? call_outcome::kFailed : call_outcome::kAnswered;
    case answer_cause::no_capacity:
      return call_outcome::kRefused;
    case answer_cause::refused_by_upstream:
      return call_outcome::kShed;
    case answer_cause::timed_out:
      return call_outcome::kTimedOut;
    case answer_cause::draining:
    case answer_cause::quarantined:
    case answer_cause::cancelled:
      return call_outcome::kAbandoned;
    default:
      return call_outcome::kFailed;
  }
}

std::int64_t ToMilliseconds(steady_clock::duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

double CountKilobytes(const wire::call_request_t& call, const wire::call_answer_t& answer) {
  constexpr double kBytesPerKilobyte = 1'024;
  return static_cast<double>(call.body.size() + answer.body.size()) / kBytesPerKilobyte;
}

balancing::call_report MakeCallReport(const wire::call_answer_t& answer, bool cancelled,
                                      steady_clock::duration latency) {
  balancing::call_report report{ToCallOutcome(answer, cancelled), latency, {}, {}};
  if (answer.slots > 0) {
    report.load = balancing::reported_load{answer.in_flight, answer.queued, answer.slots};
  }
  report.service = milliseconds(answer.service_ms);
  report.link_wait = milliseconds(answer.link_wait_ms);
  if (answer.cause == answer_cause::draining) {
    report.retry_after = milliseconds(answer.retry_after_ms);
  }
  return report;
}

/// Returns the work class of a route's calls, which is the same on all nodes.
std::uint64_t ToWorkClass(const routing::route& route) {
  return std::hash<std::string>{}(route.name);
}

wire::call_request_t MakeCall(net::http_request request, const std::string& request_id,
                              const routing::route& route, const std::string& service,
                              const std::string& caller) {
  wire::call_request_t call;
  call.service = service;
  call.priority = route.priority;
  call.work_class = ToWorkClass(route);
  call.caller = caller;
  call.request_id = request_id;
  call.at_most_once = route.repeats == routing::repeatability::kAtMostOnce;
  call.method = std::move(request.method);
  call.target = std::move(request.target);
  call.host = std::move(request.host);
  call.headers = net::ToWireFields(request.fields);
  call.body.assign(request.body.begin(), request.body.end());
  return call;
}

/// Returns true if the request reached an upstream, even if that refused it.
bool HasArrived(const wire::call_answer_t& answer) {
  return answer.outcome != outcome_kind::not_run ||
         answer.cause == answer_cause::refused_by_upstream;
}

std::string MakeTrackerKey(const routing::lifetime& life) {
  return life.instance_id + '@' + std::to_string(life.born_ms);
}

}  // namespace

net::http_response entry_service::Handle(net::http_request request, net::cancellation& cancel) {
  const auto now = steady_clock::now();
  const platform_adapter::caller_request caller = platform_adapter::ExtractCallerFields(request);
  if (const auto problem = net::FindRequestProblem(request)) {
    return Refuse(caller.id, kStatusBadRequest, *problem);
  }
  if (cancel.cancelled()) {
    return Refuse(caller.id, kStatusUnavailable, "caller left before its request was handled");
  }
  request_state state;
  // The caller's times run while the request waits.
  state.waited = net::ComputeWait(request, now);
  state.started = now - state.waited;
  state.routes = context_.routes;
  if (state.routes == nullptr) {
    return Refuse(caller.id, kStatusUnavailable, "no configuration is active yet");
  }
  if (!rollouts_.IsReady()) {
    return Refuse(caller.id, kStatusUnavailable, "roll-out orders are not known yet");
  }
  state.route = state.routes->Match(request.host, request.target);
  if (state.route == nullptr) return Refuse(caller.id, kStatusNotFound, "no route matches");
  const tenant_gate::verdict access = tenants_.Identify(*state.routes, *state.route, request);
  if (access.status != 0) return Refuse(caller.id, access.status, access.reason);
  const milliseconds timeout =
      state.route->timeout.count() > 0 ? state.route->timeout : kDefaultTimeout;
  const milliseconds deadline = caller.deadline.value_or(timeout);
  if (context_.shutdown &&
      !context_.shutdown->Accepts(now, state.route->target_latency, std::min(deadline, timeout))) {
    return Refuse(caller.id, kStatusUnavailable, "node is shutting down");
  }
  state.service = ChooseService(*state.route);
  state.deadline = state.started + std::min(deadline, timeout);
  if (context_.shutdown) state.deadline = context_.shutdown->LimitDeadline(state.deadline);
  state.caller_deadline = state.started + deadline;
  const milliseconds target = state.route->target_latency;
  state.in_time_by =
      state.started + target - caller_waits_[state.route].EstimateWait(deadline, target);
  state.call = MakeCall(std::move(request), caller.id, *state.route, state.service,
                        context_.settings.service);
  if (access.tenant != nullptr) {
    state.call.tenant = access.tenant->name;
    state.call.priority = access.tenant->priority.value_or(state.call.priority);
  }
  if (auto refusal = crashes_.FindRefusal(state.call)) return ToHttp(state, std::move(*refusal));
  if (access.tenant != nullptr) {
    const tenant_gate::verdict charge = tenants_.Charge(*access.tenant, state.deadline);
    if (charge.status != 0) {
      return Refuse(caller.id, charge.status, charge.reason, charge.retry_after);
    }
  }
  wire::call_answer_t answer = SendWithRetries(state, cancel);
  // The last attempt did not run, but an earlier one may have.
  if (answer.outcome == outcome_kind::not_run && state.runs > 0) {
    answer = MakeUnknownAnswer(answer.cause, answer.reason + " after an attempt that may have run");
  }
  return ToHttp(state, std::move(answer));
}

bool entry_service::MayOverlap(const net::http_request& request) const {
  if (context_.routes == nullptr) return false;
  const routing::route* route = context_.routes->Match(request.host, request.target);
  return route != nullptr && route->repeats == routing::repeatability::kRepeatable;
}

void entry_service::OnConfiguration() {
  splits_.clear();
  caller_waits_.clear();
  std::set<std::uint64_t> classes;
  for (const routing::route& route : context_.routes->config().routes) {
    classes.insert(ToWorkClass(route));
  }
  std::erase_if(profiles_, [&](const auto& entry) { return !classes.contains(entry.first); });
}

const std::string& entry_service::ChooseService(const routing::route& route) {
  if (route.targets.size() == 1) return route.targets.front().service;
  const auto [split, added] = splits_.try_emplace(&route, route.targets, random_());
  return route.targets[split->second.Next()].service;
}

entry_service::service_view& entry_service::GetServiceView(const std::string& service) {
  service_view& view = views_[service];
  if (view.endpoints != nullptr && view.generation == context_.endpoints.generation()) return view;
  view.generation = context_.endpoints.generation();
  view.endpoints = context_.endpoints.ReadyEndpoints(service);
  view.candidates.clear();
  for (const routing::endpoint& endpoint : *view.endpoints) {
    view.candidates.push_back({tracker_.Get(MakeTrackerKey(endpoint.life), endpoint.slots),
                               endpoint.zone == context_.settings.zone});
  }
  return view;
}

std::optional<std::size_t> entry_service::ChooseEndpoint(const service_view& view,
                                                         request_state& state) {
  std::vector<std::size_t> indices;
  std::vector<balancing::candidate> untried;
  for (std::size_t i = 0; i < view.candidates.size(); ++i) {
    const routing::lifetime& life = (*view.endpoints)[i].life;
    if (state.tried.contains(life.instance_id)) continue;
    const auto departed = departed_.find(life.instance_id);
    if (departed != departed_.end() && departed->second == life.born_ms) continue;
    if (!rollouts_.Allows(state.rollout, (*view.endpoints)[i])) continue;
    indices.push_back(i);
    untried.push_back(view.candidates[i]);
  }
  const auto now = steady_clock::now();
  const balancing::completion_goal goal =
      balancing::MakeCompletionGoal({.in_time = state.in_time_by - now,
                                     .target = state.route->target_latency,
                                     .refusals = state.refusals},
                                    profiles_[state.call.work_class]);
  const auto choice = balancing::ChooseByCompletion(untried, goal, now, random_());
  if (!choice.index) return std::nullopt;
  if (state.local_wait && !untried[*choice.index].same_domain &&
      !balancing::IsWorthCrossing(state.local_wait->second, goal)) {
    const auto own = std::find_if(view.endpoints->begin(), view.endpoints->end(),
                                  [&](const routing::endpoint& endpoint) {
                                    return endpoint.life.instance_id == state.local_wait->first;
                                  });
    state.local_wait.reset();
    if (own != view.endpoints->end() && rollouts_.Allows(state.rollout, *own)) {
      state.call.redirectable = false;
      return static_cast<std::size_t>(own - view.endpoints->begin());
    }
  }
  state.call.redirectable = balancing::MayRedirect(state.refusals, choice.in_time_candidates);
  return indices[*choice.index];
}

void entry_service::RecordRefusal(const balancing::candidate& refused,
                                  const std::string& instance_id, const wire::call_answer_t& answer,
                                  request_state& state) {
  if (!refused.same_domain || answer.cause != answer_cause::no_capacity) return;
  if (!state.call.redirectable) return;
  const milliseconds wait(answer.retry_after_ms);
  if (!state.local_wait || wait < state.local_wait->second) state.local_wait = {instance_id, wait};
}

void entry_service::OnAnswer(const routing::endpoint& target, const wire::call_answer_t& answer) {
  versions_.OnSeen(answer.config_version);
  if (answer.leaving || answer.cause == answer_cause::departed) {
    departed_[target.life.instance_id] = target.life.born_ms;
  }
  if (answer.named_limit > 0) {
    if (named_limits_.size() >= kMaxNamedLimits) named_limits_.clear();
    named_limits_[target.life] = answer.named_limit;
  } else if (answer.outcome == outcome_kind::answered) {
    named_limits_.erase(target.life);
  }
  if (target.node_address == context_.settings.peer_address) return;
  if (answer.cause == answer_cause::unreachable && answer.node_id.empty()) {
    reaper_.OnUnreachable(target);
  } else if (!answer.node_id.empty()) {
    reaper_.OnReached(target);
  }
}

wire::call_answer_t entry_service::SendWithRetries(request_state& state,
                                                   net::cancellation& cancel) {
  auto& retries = retries_.try_emplace(state.service, context_.settings.retries).first->second;
  retries.AddRequest(context_.endpoints.CountNodes(), steady_clock::now());
  wire::call_answer_t last =
      MakeNotRunAnswer(answer_cause::unreachable, "no endpoint is available");
  state.rollout = rollouts_.Assign(state.service, *GetServiceView(state.service).endpoints,
                                   state.call.work_class);
  while (true) {
    const service_view view = GetServiceView(state.service);
    auto index = ChooseEndpoint(view, state);
    while (!index && rollouts_.Redirect(state.service, state.rollout)) {
      index = ChooseEndpoint(view, state);
    }
    if (!index) return last;
    const routing::endpoint& target = (*view.endpoints)[*index];
    state.tried.insert(target.life.instance_id);
    const auto& endpoint_state = view.candidates[*index].state;
    const auto sent_at = steady_clock::now();
    balancing::scoped_call attempt(*endpoint_state, sent_at);
    last = SendTo(target, state, cancel);
    const auto now = steady_clock::now();
    OnAnswer(target, last);
    rollouts_.OnAttempt(state.service, state.rollout, HasArrived(last));
    balancing::call_report report = MakeCallReport(last, cancel.cancelled(), now - sent_at);
    RecordProfile(state, last, report);
    attempt.Finish(report, now);
    RecordRefusal(view.candidates[*index], target.life.instance_id, last, state);
    if (cancel.cancelled() || !AllowRetry(state, last)) return last;
    context_.log.Info("call_resent", {{"request", state.call.request_id},
                                      {"after", wire::EnumNameanswer_cause(last.cause)},
                                      {"instance", target.life.instance_id},
                                      {"runs", state.runs},
                                      {"arrivals", state.arrivals}});
  }
}

void entry_service::RecordProfile(const request_state& state, const wire::call_answer_t& answer,
                                  balancing::call_report& report) {
  if (answer.outcome != outcome_kind::answered || answer.service_ms == 0) return;
  balancing::call_profile& profile = profiles_[state.call.work_class];
  report.expected_service = profile.service();
  profile.Record(report.service, CountKilobytes(state.call, answer));
}

bool entry_service::AllowRetry(request_state& state, const wire::call_answer_t& answer) {
  if (answer.outcome == outcome_kind::answered) return false;
  if (answer.cause == answer_cause::quarantined) return false;
  if (answer.cause == answer_cause::no_capacity && !balancing::MayTryAnother(++state.refusals)) {
    return false;
  }
  const auto now = steady_clock::now();
  if (state.deadline - now < kMinTimeForRetry || context_.recall.cancelled()) return false;
  if (answer.outcome == outcome_kind::unknown) {
    ++state.runs;
    if (state.call.at_most_once || state.runs >= state.route->attempts) return false;
  }
  const bool arrived =
      answer.outcome == outcome_kind::unknown || answer.cause == answer_cause::refused_by_upstream;
  if (arrived) ++state.arrivals;
  if (state.arrivals == 0) return true;
  return retries_.at(state.service).TakeRetry(now);
}

wire::call_answer_t entry_service::SendTo(const routing::endpoint& target, request_state& state,
                                          net::cancellation& cancel) {
  const auto remaining = std::chrono::floor<milliseconds>(state.deadline - steady_clock::now());
  if (remaining.count() <= 0)
    return MakeNotRunAnswer(answer_cause::no_capacity, "deadline has passed");
  state.call.deadline_ms = static_cast<std::uint32_t>(remaining.count());
  const auto in_time = std::chrono::floor<milliseconds>(state.in_time_by - steady_clock::now());
  state.call.in_time_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, in_time.count()));
  state.call.config_version = state.routes->config().version;
  const auto limit = named_limits_.find(target.life);
  state.call.known_limit = limit == named_limits_.end() ? 0 : limit->second;
  if (target.node_address == context_.settings.peer_address) {
    net::cancellation withdrawn;
    const net::scoped_callback on_cancel(&cancel, [&withdrawn] { withdrawn.Cancel(); });
    const net::scoped_callback on_recall(&context_.recall, [&withdrawn] { withdrawn.Cancel(); });
    return serving_.Serve(state.call, withdrawn);
  }
  // The frame needs as much memory as the request until it is sent.
  if (!context_.memory.HasRoom(net::memory_use::kFrame, state.call.body.size())) {
    return MakeNotRunAnswer(answer_cause::no_capacity, "no memory to send the request");
  }
  // If the request can't be sent again, giving it up early replaces its answer by a failure.
  const bool may_repeat = !state.call.at_most_once && state.runs + 1 < state.route->attempts;
  const bool gives_up = may_repeat && !context_.stopping;
  auto result = context_.peers.Request(
      target.node_address, wire::MakeEnvelope(wire::call_request_t(state.call)),
      state.deadline + kAnswerMargin, &cancel, &context_.recall,
      gives_up ? net::silence_policy::kGiveUp : net::silence_policy::kAwaitReply);
  if (result.stage == net::exchange_stage::kNotSent) {
    return MakeNotRunAnswer(answer_cause::unreachable, result.error);
  }
  if (result.reply == nullptr) {
    if (cancel.cancelled())
      return MakeUnknownAnswer(answer_cause::cancelled, "caller disconnected");
    return MakeUnknownAnswer(result.timed_out ? answer_cause::timed_out : answer_cause::broken,
                             "no verdict of the serving node: " + result.error);
  }
  auto* answer = result.reply->message.Ascall_answer();
  if (answer == nullptr)
    return MakeUnknownAnswer(answer_cause::broken,
                             "serving node replied with an unexpected message");
  return std::move(*answer);
}

milliseconds entry_service::ComputeRetryDelay(const routing::refused_request& refused) {
  return routing::ComputeRetryDelay(refused, std::uniform_real_distribution<double>(0, 1)(random_));
}

routing::refused_request entry_service::MakeRefusedRequest(const request_state& state,
                                                           const wire::call_answer_t& answer) {
  using std::chrono::floor;
  const auto now = steady_clock::now();
  routing::refused_request refused{
      floor<milliseconds>(state.caller_deadline - now),
      floor<milliseconds>(state.in_time_by - now - profiles_[state.call.work_class].service())};
  const milliseconds told(answer.retry_after_ms);
  if (answer.cause == answer_cause::refused_by_upstream ||
      (answer.cause == answer_cause::no_capacity && told.count() > 0)) {
    refused.room_in = told;
  }
  return refused;
}

net::http_response entry_service::Refuse(const std::string& id, unsigned status,
                                         std::string_view reason, milliseconds retry_after) {
  const bool of_tenant = status == kStatusUnauthorized || status == kStatusTooManyRequests;
  // One tenant can cause any number of these.
  const std::uint64_t interval = of_tenant ? kRefusedLogInterval : 1;
  if (!of_tenant || refused_++ % interval == 0) {
    context_.log.Info("request_refused", {{"request", id},
                                          {"status", status},
                                          {"reason", reason},
                                          {"config_version", context_.version()},
                                          {"one_in", interval}});
  }
  if (status == kStatusUnavailable && retry_after.count() == 0) {
    retry_after = ComputeRetryDelay({kDefaultRemainingTime});
  }
  net::http_response response =
      platform_adapter::MakeLocalResponse(status, id, reason, retry_after);
  if (status == kStatusUnauthorized) response.fields.push_back({"WWW-Authenticate", "Bearer"});
  return response;
}

net::http_response entry_service::ToHttp(const request_state& state, wire::call_answer_t answer) {
  const auto took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - state.started);
  const std::string_view outcome = wire::EnumNameoutcome_kind(answer.outcome);
  context_.requests.RecordRequest(outcome, std::to_string(state.call.priority), took);
  if (answer.outcome != outcome_kind::answered) {
    context_.log.Info("request_failed", {{"request", state.call.request_id},
                                         {"route", state.route->name},
                                         {"service", state.service},
                                         {"outcome", outcome},
                                         {"cause", wire::EnumNameanswer_cause(answer.cause)},
                                         {"reason", answer.reason},
                                         {"node", answer.node_id},
                                         {"tried", state.tried.size()},
                                         {"took_ms", took.count()},
                                         {"waited_ms", ToMilliseconds(state.waited)},
                                         {"config_version", state.call.config_version}});
    const bool retryable = answer.outcome == outcome_kind::not_run;
    return platform_adapter::MakeLocalResponse(
        answer.status, state.call.request_id, answer.reason,
        retryable ? ComputeRetryDelay(MakeRefusedRequest(state, answer)) : milliseconds(0));
  }
  if (answered_++ % kAnsweredLogInterval == 0) {
    context_.log.Info("request_answered", {{"request", state.call.request_id},
                                           {"route", state.route->name},
                                           {"service", state.service},
                                           {"status", answer.status},
                                           {"node", answer.node_id},
                                           {"tried", state.tried.size()},
                                           {"took_ms", took.count()},
                                           {"config_version", state.call.config_version},
                                           {"one_in", kAnsweredLogInterval}});
  }
  net::http_response response;
  response.status = answer.status;
  response.fields.reserve(answer.headers.size());
  for (auto& field : answer.headers) {
    response.fields.push_back({std::move(field->name), std::move(field->value)});
  }
  response.body.assign(answer.body.begin(), answer.body.end());
  return response;
}

}  // namespace siskinrack::mesh
