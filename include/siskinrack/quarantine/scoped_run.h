#ifndef SISKINRACK_QUARANTINE_SCOPED_RUN_H_
#define SISKINRACK_QUARANTINE_SCOPED_RUN_H_

#include "siskinrack/net/http_client.h"
#include "siskinrack/quarantine/crash_detector.h"

namespace siskinrack::quarantine {

/// Records one run of a request at the upstream, and its end at the end of the scope, also if the
/// scope is left by an exception: the record of an open run refers to its call. `Recorder` has
/// BeginRun(call) and EndRun(token, call, result, cancelled).
template <typename Recorder, typename Call>
class scoped_run {
 public:
  /// Both arguments must outlive the run.
  scoped_run(Recorder& recorder, const Call& call)
      : recorder_(recorder), call_(call), token_(recorder.BeginRun(call)) {}
  ~scoped_run() {
    // Whether the request was sent is unknown, and no connection broke.
    if (!ended_) recorder_.EndRun(token_, call_, {net::exchange_stage::kSent, {}, {}, true}, true);
  }
  scoped_run(const scoped_run&) = delete;
  scoped_run& operator=(const scoped_run&) = delete;

  /// Records the result of the run. Must be called at most once.
  void End(const net::http_result& result, bool cancelled) {
    ended_ = true;
    recorder_.EndRun(token_, call_, result, cancelled);
  }

 private:
  Recorder& recorder_;
  const Call& call_;
  crash_detector::token token_;
  bool ended_ = false;
};

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_SCOPED_RUN_H_
