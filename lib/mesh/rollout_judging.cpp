#include "rollout_judging.h"

#include <algorithm>

#include "rollout_codec.h"
#include "siskinrack/rollout/judges.h"
#include "siskinrack/rollout/status_recorder.h"
#include "store_recovery.h"

namespace siskinrack::mesh {
namespace {

using rollout::order_state;
using rollout::phase;
using rollout::ruling;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Interval of the judgement.
constexpr milliseconds kJudgeInterval{250};
/// Interval of the reports. A judge of a service with 54 upstreams receives some hundred reports a
/// second, a few percent of a small VM.
constexpr milliseconds kReportInterval{500};
/// Several round trips between failure domains.
constexpr milliseconds kReplyTimeout{300};
/// Time for which a node that did not reply is no judge.
constexpr milliseconds kSilentTime{2'000};
/// Verdicts are repeated until the result is recorded, for nodes that were out of reach.
constexpr milliseconds kAnnounceInterval{1'000};
/// Time that the second judge leaves the first one to act on evidence for the version.
constexpr milliseconds kSecondJudgeDelay{1'500};
/// Time that a node leaves the judge that ruled to record the result.
constexpr milliseconds kRecordDelay{1'000};
constexpr milliseconds kRecordRetryDelay{200};

rollout::store_answer ToStoreAnswer(const platform_adapter::store_error& error) {
  switch (error.code) {
    case platform_adapter::store_errc::kConflict:
      return rollout::store_answer::kConflict;
    case platform_adapter::store_errc::kNotFound:
      return rollout::store_answer::kNotFound;
    case platform_adapter::store_errc::kUnavailable:
    case platform_adapter::store_errc::kRateLimited:
      return rollout::store_answer::kUnavailable;
    default:
      return rollout::store_answer::kUnknown;
  }
}

/// Accesses the orders in the users' store.
struct platform_orders {
  platform_adapter::objects_client& client;

  rollout::order_result Read(const rollout::order& target) {
    const auto result = client.Get(platform_adapter::kRolloutKind, target.service);
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result))
      return ToStoreAnswer(*error);
    support::findings problems;
    const auto read = platform_adapter::ReadRolloutOrder(
        std::get<platform_adapter::versioned_object>(result), problems);
    if (!read) return rollout::store_answer::kNotFound;
    return *read;
  }
  rollout::store_answer Record(const rollout::order& target, order_state state,
                               std::uint64_t revision) {
    const auto result =
        client.ReplaceStatus(platform_adapter::kRolloutKind, target.service,
                             platform_adapter::MakeRolloutStatus(target, state), revision);
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result))
      return ToStoreAnswer(*error);
    return rollout::store_answer::kOk;
  }
};

static_assert(rollout::order_store<platform_orders>);

rollout::upstream_report FromWire(const wire::rollout_report_t& report) {
  rollout::upstream_report result{
      report.node_id,    report.software_version, {}, milliseconds(report.known_for_ms),
      report.open_calls, report.knows_cut_over};
  for (const auto& route : report.routes) {
    rollout::route_counts& counts = result.counts[route->work_class];
    counts.answered = route->answered;
    counts.failed = route->failed;
    const std::size_t buckets = std::min(counts.service.size(), route->service_ms.size());
    std::copy_n(route->service_ms.begin(), buckets, counts.service.begin());
  }
  return result;
}

}  // namespace

void rollout_judging::Run() {
  net::steady_time last_report{};
  while (true) {
    WaitForOpenOrder();
    // After a cut-over each moment of a bad version counts several times.
    const milliseconds interval = HasCutOver() ? kJudgeInterval : kReportInterval;
    if (steady_clock::now() - last_report >= interval) {
      last_report = steady_clock::now();
      SendReport();
    }
    JudgeOrders();
    net::SleepFor(kJudgeInterval);
  }
}

bool rollout_judging::HasCutOver() const {
  return std::any_of(book_.entries().begin(), book_.entries().end(), [](const auto& entry) {
    return !entry.second.recorded && entry.second.current == phase::kCutOver;
  });
}

void rollout_judging::WaitForOpenOrder() {
  std::unique_lock lock(mutex_);
  while (!book_.HasOpenOrder()) changed_.wait(lock);
}

std::vector<std::string> rollout_judging::FindJudges(std::uint64_t order_revision) {
  const auto now = steady_clock::now();
  std::erase_if(silent_until_, [now](const auto& entry) { return entry.second <= now; });
  std::vector<std::string> nodes;
  for (const support::socket_address& node : context_.endpoints.Nodes()) {
    std::string address = node.ToText();
    if (!silent_until_.contains(address)) nodes.push_back(std::move(address));
  }
  return rollout::ChooseJudges(nodes, order_revision);
}

void rollout_judging::SendReport() {
  const auto report = counter_.MakeReport(count_open_calls_());
  if (!report) return;
  for (const std::string& judge : FindJudges(report->order_revision)) {
    const auto address = support::ParseSocketAddress(judge);
    if (!address) continue;
    if (*address == context_.settings.peer_address) {
      OnReport(*report);
      continue;
    }
    const auto result =
        context_.peers.Request(*address, wire::MakeEnvelope(wire::rollout_report_t(*report)),
                               steady_clock::now() + kReplyTimeout);
    const auto* verdict =
        result.reply == nullptr ? nullptr : result.reply->message.Asrollout_verdict();
    if (verdict == nullptr) {
      silent_until_[judge] = steady_clock::now() + kSilentTime;
    } else if (!verdict->software_version.empty()) {
      OnVerdict(*verdict);
    }
  }
}

rollout_judging::bench& rollout_judging::GetBench(const rollout::order_entry& entry) {
  const auto found = benches_.find(entry.ordered.service);
  if (found != benches_.end() && found->second.judge.judged().revision == entry.ordered.revision)
    return found->second;
  bench judged{rollout::order_judge(entry.ordered, share_, entry.known_since), {}, {}, {}, false};
  return benches_.insert_or_assign(entry.ordered.service, std::move(judged)).first->second;
}

wire::rollout_verdict_t rollout_judging::OnReport(const wire::rollout_report_t& report) {
  const rollout::order_entry* entry = book_.Find(report.service);
  if (entry == nullptr || entry->ordered.revision != report.order_revision || entry->withdrawn)
    return {};
  if (!entry->recorded) GetBench(*entry).judge.OnReport(FromWire(report), steady_clock::now());
  return MakeVerdict(*entry);
}

wire::rollout_verdict_t rollout_judging::MakeVerdict(const rollout::order_entry& entry) {
  wire::rollout_verdict_t verdict;
  verdict.service = entry.ordered.service;
  verdict.order_revision = entry.ordered.revision;
  if (entry.current == phase::kTrial) return verdict;
  verdict.software_version = entry.ordered.target_version;
  verdict.rolled_back = entry.current == phase::kRolledBack;
  verdict.reason = ToText(entry.current);
  return verdict;
}

void rollout_judging::OnVerdict(const wire::rollout_verdict_t& verdict) {
  ApplyVerdict(verdict.service, verdict.order_revision, verdict.rolled_back, "another judge");
}

void rollout_judging::ApplyVerdict(const std::string& service, std::uint64_t order_revision,
                                   bool rolled_back, std::string_view reason) {
  if (!book_.OnVerdict(service, order_revision, rolled_back, steady_clock::now())) return;
  context_.log.Info("rollout_verdict", {{"service", service},
                                        {"verdict", rolled_back ? "roll_back" : "cut_over"},
                                        {"from", reason},
                                        {"order", order_revision}});
}

void rollout_judging::JudgeOrders() {
  std::erase_if(benches_, [this](const auto& judged) {
    const rollout::order_entry* entry = book_.Find(judged.first);
    return entry == nullptr || entry->recorded ||
           entry->ordered.revision != judged.second.judge.judged().revision;
  });
  for (auto& [service, judged] : benches_) Judge(*book_.Find(service), judged);
}

rollout::upstream_census rollout_judging::CountUpstreams(const rollout::order& judged) const {
  rollout::upstream_census census;
  for (const routing::endpoint& endpoint : context_.endpoints.All()) {
    if (endpoint.service != judged.service) continue;
    const bool is_target = endpoint.software_version == judged.target_version;
    ++(is_target ? census.target : census.others);
    (is_target ? census.target_slots : census.other_slots) += endpoint.slots;
  }
  return census;
}

void rollout_judging::Judge(const rollout::order_entry& entry, bench& judged) {
  const auto now = steady_clock::now();
  if (entry.current == phase::kCutOver) judged.judge.OnCutOver(entry.phase_since);
  if (entry.current != phase::kRolledBack) {
    ApplyDecision(entry, judged, judged.judge.Decide(CountUpstreams(entry.ordered), now));
  }
  if (entry.current == phase::kTrial) return;
  Announce(entry, judged);
  // Another judge may have ruled and ended before it recorded the result.
  if (entry.current == phase::kRolledBack && now - entry.phase_since >= kRecordDelay)
    Record(entry, judged, order_state::kRolledBack);
}

void rollout_judging::ApplyDecision(const rollout::order_entry& entry, bench& judged,
                                    const rollout::decision& decided) {
  const auto now = steady_clock::now();
  const std::vector<std::string> judges = FindJudges(entry.ordered.revision);
  const bool is_first =
      !judges.empty() && judges.front() == context_.settings.peer_address.ToText();
  const milliseconds delay = is_first ? milliseconds(0) : kSecondJudgeDelay;
  const milliseconds age = judged.judge.Age(now);
  switch (decided.decided) {
    case ruling::kRollBack:
      LogDecision(entry, decided, age);
      ApplyVerdict(entry.ordered.service, entry.ordered.revision, /*rolled_back=*/true, "here");
      Announce(entry, judged);
      Record(entry, judged, order_state::kRolledBack);
      return;
    case ruling::kCutOver:
      if (!judged.cut_over_ruled) judged.cut_over_ruled = now;
      if (now - *judged.cut_over_ruled < delay) return;
      LogDecision(entry, decided, age);
      ApplyVerdict(entry.ordered.service, entry.ordered.revision, /*rolled_back=*/false, "here");
      Announce(entry, judged);
      return;
    case ruling::kDone:
      if (!judged.done_ruled) {
        judged.done_ruled = now;
        LogDecision(entry, decided, age);
      }
      if (now - *judged.done_ruled >= delay) Record(entry, judged, order_state::kDone);
      return;
    default:
      judged.cut_over_ruled.reset();
      judged.done_ruled.reset();
      return;
  }
}

void rollout_judging::LogDecision(const rollout::order_entry& entry,
                                  const rollout::decision& decided, milliseconds age) {
  const rollout::evidence fault = decided.fault.value_or(rollout::evidence{});
  context_.log.Info("rollout_decided",
                    {{"service", entry.ordered.service},
                     {"target_version", entry.ordered.target_version},
                     {"decision", ToText(decided.decided)},
                     {"reason", decided.reason},
                     {"measure", decided.fault ? ToText(fault.measured) : "none"},
                     {"work_class", fault.route},
                     {"answers", fault.answers},
                     {"bad", fault.bad},
                     {"other_rate", fault.other_rate},
                     {"log_ratio", fault.log_ratio},
                     {"upstreams", fault.upstreams},
                     {"age_ms", age.count()},
                     {"duration_ms", entry.ordered.duration.count()},
                     {"order", entry.ordered.revision}});
}

void rollout_judging::Announce(const rollout::order_entry& entry, bench& judged) {
  const auto now = steady_clock::now();
  if (judged.announced && *judged.announced >= entry.phase_since &&
      now - *judged.announced < kAnnounceInterval)
    return;
  judged.announced = now;
  const wire::rollout_verdict_t verdict = MakeVerdict(entry);
  for (const support::socket_address& node : context_.endpoints.Nodes()) {
    if (node == context_.settings.peer_address) continue;
    context_.peers.Send(node, wire::MakeEnvelope(wire::rollout_verdict_t(verdict)));
  }
}

void rollout_judging::Record(const rollout::order_entry& entry, bench& judged, order_state state) {
  if (judged.recording) return;
  judged.recording = true;
  net::Spawn([this, target = entry.ordered, revision = entry.recorded_revision, state] {
    RecordInStore(target, revision, state);
    const auto found = benches_.find(target.service);
    if (found != benches_.end() && found->second.judge.judged().revision == target.revision)
      found->second.recording = false;
  });
}

void rollout_judging::RecordInStore(const rollout::order& target, std::uint64_t revision,
                                    order_state state) {
  platform_orders orders{context_.store};
  while (true) {
    // A verdict to roll back that arrives meanwhile overrules that the order is done.
    const rollout::order_entry* entry = book_.Find(target.service);
    if (entry == nullptr || entry->recorded || entry->ordered.revision != target.revision) return;
    if ((entry->current == phase::kRolledBack) != (state == order_state::kRolledBack)) return;
    const rollout::record_result result = rollout::RecordState(orders, target, state, revision);
    context_.log.Info("rollout_record", {{"service", target.service},
                                         {"state", ToText(state)},
                                         {"result", ToText(result)},
                                         {"order", target.revision}});
    if (result == rollout::record_result::kRecorded) {
      rollout::order recorded = target;
      recorded.revision = revision;
      recorded.state = state;
      book_.OnOrder(recorded, steady_clock::now());
    }
    if (result != rollout::record_result::kRetry) return;
    net::SleepFor(kRecordRetryDelay);
  }
}

}  // namespace siskinrack::mesh
