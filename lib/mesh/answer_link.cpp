#include "answer_link.h"

#include "call_answers.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using wire::answer_cause;

/// Weight of a new sample in a smoothed size.
constexpr double kSizeWeight = 0.1;
/// Maximum number of work classes; when it is reached, all are discarded. Bounds memory, because
/// the routes change with the configuration.
constexpr std::size_t kMaxWorkClasses = 4'096;

}  // namespace

std::optional<wire::call_answer_t> answer_link::FindRefusal(
    const wire::call_request_t& call) const {
  if (!context_.pacer) return std::nullopt;
  const auto size = sizes_.find(call.work_class);
  if (size == sizes_.end() || size->second < net::link_pacer::kLargeFrameBytes) return std::nullopt;
  const milliseconds wait = context_.pacer->EstimateWait();
  const milliseconds sent_in =
      wait + context_.pacer->EstimateTransfer(static_cast<std::size_t>(size->second));
  if (sent_in > milliseconds(call.deadline_ms)) {
    return MakeNotRunAnswer(answer_cause::no_capacity, "answer can't be sent before the deadline",
                            wait);
  }
  if (call.redirectable && sent_in > milliseconds(call.in_time_ms)) {
    return MakeNotRunAnswer(answer_cause::no_capacity, "answer would be sent late", wait);
  }
  return std::nullopt;
}

void answer_link::OnAnswer(const wire::call_request_t& call, wire::call_answer_t& answer) {
  if (!context_.pacer) return;
  answer.link_wait_ms = static_cast<std::uint32_t>(context_.pacer->EstimateWait().count());
  if (answer.outcome != wire::outcome_kind::answered) return;
  if (sizes_.size() >= kMaxWorkClasses) sizes_.clear();
  const auto bytes = static_cast<double>(answer.body.size());
  double& size = sizes_.try_emplace(call.work_class, bytes).first->second;
  size += (bytes - size) * kSizeWeight;
}

}  // namespace siskinrack::mesh
