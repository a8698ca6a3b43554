#include "rollout_counter.h"

#include "call_answers.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using wire::answer_cause;

/// Time for which entry nodes leave an upstream alone that has been stopped: the focus of the trial
/// moves on in it.
constexpr milliseconds kStoppedPause{2'000};

/// Classifies an answer for the judgement of a version.
enum class answer_class { kIgnored, kGood, kFailed, kTimedOut };

answer_class Classify(const wire::call_answer_t& answer) {
  switch (answer.cause) {
    case answer_cause::none:
      // An upstream answers 504 when it could not finish by the deadline: it is slow.
      if (answer.status == kStatusGatewayTimeout) return answer_class::kTimedOut;
      return answer.status >= kFirstServerError ? answer_class::kFailed : answer_class::kGood;
    case answer_cause::timed_out:
      return answer_class::kTimedOut;
    case answer_cause::broken:
      return answer_class::kFailed;
    default:
      return answer_class::kIgnored;
  }
}

}  // namespace

const rollout::order_entry* rollout_counter::FindOrder() const {
  const auto& current = registration_.instance().current();
  return current ? book_.Find(current->service) : nullptr;
}

bool rollout_counter::IsTarget(const rollout::order_entry& entry) const {
  return registration_.instance().current()->software_version == entry.ordered.target_version;
}

std::optional<wire::call_answer_t> rollout_counter::FindRefusal() const {
  const rollout::order_entry* entry = FindOrder();
  if (entry == nullptr || !IsTarget(*entry) || entry->withdrawn) return std::nullopt;
  if (entry->current == rollout::phase::kRolledBack) {
    return MakeNotRunAnswer(answer_cause::departed, "the version is rolled back");
  }
  const bool judged = entry->ordered.revision == order_revision_ && guard_.tripped();
  // After the cut-over, all nodes together have overruled what was seen here.
  if (judged && entry->current == rollout::phase::kTrial) {
    // The entry node pauses this upstream, as it does one whose node is shutting down.
    return MakeNotRunAnswer(answer_cause::draining, "the version fails here during its trial",
                            kStoppedPause);
  }
  return std::nullopt;
}

void rollout_counter::Record(const wire::call_request_t& call, const wire::call_answer_t& answer,
                             milliseconds took) {
  const rollout::order_entry* entry = FindOrder();
  if (entry == nullptr || entry->recorded) return;
  const answer_class kind = Classify(answer);
  if (kind == answer_class::kIgnored) return;
  const routing::local_instance& local = registration_.instance();
  if (entry->ordered.revision != order_revision_ ||
      local.current()->software_version != software_version_) {
    order_revision_ = entry->ordered.revision;
    software_version_ = local.current()->software_version;
    counts_.clear();
    guard_ = {};
  }
  const bool is_cold = steady_clock::now() < local.last_report() + local.current()->cold_left;
  // An upstream that is warming up is slow in any version.
  if (is_cold && kind == answer_class::kTimedOut) return;
  rollout::route_counts& counts = counts_[call.work_class];
  ++counts.answered;
  if (kind == answer_class::kFailed) ++counts.failed;
  if (!is_cold && kind != answer_class::kFailed) {
    const std::size_t bucket = kind == answer_class::kTimedOut ? rollout::kServiceBuckets - 1
                                                               : rollout::ToServiceBucket(took);
    ++counts.service.at(bucket);
  }
  if (!IsTarget(*entry) || guard_.tripped()) return;
  guard_.Record(kind == answer_class::kFailed);
  if (guard_.tripped()) {
    context_.log.Warn("rollout_stopped_here", {{"service", entry->ordered.service},
                                               {"version", software_version_},
                                               {"answers", guard_.answers()},
                                               {"failures", guard_.failures()},
                                               {"order", order_revision_}});
  }
}

std::optional<wire::rollout_report_t> rollout_counter::MakeReport(std::size_t open_calls) const {
  const rollout::order_entry* entry = FindOrder();
  if (entry == nullptr || entry->recorded || !registration_.IsAlive()) return std::nullopt;
  wire::rollout_report_t report;
  report.service = entry->ordered.service;
  report.order_revision = entry->ordered.revision;
  report.node_id = context_.settings.node_id;
  report.software_version = registration_.instance().current()->software_version;
  report.known_for_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - entry->known_since).count());
  report.open_calls = static_cast<std::uint32_t>(open_calls);
  report.knows_cut_over = entry->current == rollout::phase::kCutOver;
  if (entry->ordered.revision != order_revision_ || report.software_version != software_version_)
    return report;
  for (const auto& [route, counts] : counts_) {
    auto count = std::make_unique<wire::rollout_count_t>();
    count->work_class = route;
    count->answered = counts.answered;
    count->failed = counts.failed;
    count->service_ms.assign(counts.service.begin(), counts.service.end());
    report.routes.push_back(std::move(count));
  }
  return report;
}

}  // namespace siskinrack::mesh
