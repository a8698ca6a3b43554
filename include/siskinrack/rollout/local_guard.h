#ifndef SISKINRACK_ROLLOUT_LOCAL_GUARD_H_
#define SISKINRACK_ROLLOUT_LOCAL_GUARD_H_

#include <cstdint>

namespace siskinrack::rollout {

/// Decides at the serving node beside an upstream of the version under trial whether to stop its
/// calls without waiting for a judge, which may be out of reach. Sequential test of the failures
/// alone: there is nothing to compare with here, so the rates are those that no service runs with.
class local_guard {
 public:
  /// Records an answer.
  void Record(bool failed);
  /// Returns true once the upstream has failed too often; it stays so until the end of the order.
  [[nodiscard]] bool tripped() const { return tripped_; }
  [[nodiscard]] std::uint64_t answers() const { return answers_; }
  [[nodiscard]] std::uint64_t failures() const { return failures_; }

 private:
  double against_ = 0;
  bool tripped_ = false;
  std::uint64_t answers_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace siskinrack::rollout

#endif  // SISKINRACK_ROLLOUT_LOCAL_GUARD_H_
