#ifndef SISKINRACK_BALANCING_SCOPED_CALL_H_
#define SISKINRACK_BALANCING_SCOPED_CALL_H_

#include "siskinrack/balancing/endpoint_state.h"

namespace siskinrack::balancing {

/// Counts one call at an endpoint until the end of its scope, also if the scope is left by an
/// exception: a call that never finishes would count as load of the endpoint forever.
class scoped_call {
 public:
  /// `state` must outlive the call.
  scoped_call(endpoint_state& state, time_point now) : state_(state) { state_.Start(now); }
  ~scoped_call() {
    if (finished_) return;
    state_.Finish({call_outcome::kAbandoned, {}, {}, {}}, std::chrono::steady_clock::now());
  }
  scoped_call(const scoped_call&) = delete;
  scoped_call& operator=(const scoped_call&) = delete;

  /// Records the end of the call. Must be called at most once.
  void Finish(const call_report& report, time_point now) {
    finished_ = true;
    state_.Finish(report, now);
  }

 private:
  endpoint_state& state_;
  bool finished_ = false;
};

}  // namespace siskinrack::balancing

#endif  // SISKINRACK_BALANCING_SCOPED_CALL_H_
