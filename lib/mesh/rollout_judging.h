#ifndef SISKINRACK_LIB_MESH_ROLLOUT_JUDGING_H_
#define SISKINRACK_LIB_MESH_ROLLOUT_JUDGING_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <string>

#include "mesh_context.h"
#include "rollout_counter.h"
#include "siskinrack/rollout/order_book.h"
#include "siskinrack/rollout/order_judge.h"

namespace siskinrack::mesh {

/// Reports the counts of this node to the judges of an order, judges the orders of which this node
/// is a judge, announces verdicts and records the result in the store. Makes no call and wakes up
/// no fiber while no order is open.
class rollout_judging {
 public:
  /// `share` is the share of requests that a version under trial receives; `count_open_calls`
  /// returns the number of calls that this node has not yet answered.
  rollout_judging(mesh_context& context, rollout::order_book& book, const rollout_counter& counter,
                  double share, std::function<std::size_t()> count_open_calls)
      : context_(context),
        book_(book),
        counter_(counter),
        share_(share),
        count_open_calls_(std::move(count_open_calls)) {}

  /// Runs until the process ends, in a fiber of its own.
  void Run();
  /// Must be called after each change of the order book.
  void OnOrdersChanged() { changed_.notify_all(); }

  /// Adds the report of a node and returns the verdict, which names no version if there is none.
  wire::rollout_verdict_t OnReport(const wire::rollout_report_t& report);
  /// Applies the verdict of a judge.
  void OnVerdict(const wire::rollout_verdict_t& verdict);

 private:
  /// State of an order that this node judges.
  struct bench {
    rollout::order_judge judge;
    /// When the judge first ruled to cut over, and that the order is done; the second judge leaves
    /// the first one some time to act.
    std::optional<net::steady_time> cut_over_ruled;
    std::optional<net::steady_time> done_ruled;
    std::optional<net::steady_time> announced;
    bool recording = false;
  };

  void WaitForOpenOrder();
  [[nodiscard]] bool HasCutOver() const;
  void SendReport();
  void JudgeOrders();
  void Judge(const rollout::order_entry& entry, bench& judged);
  void ApplyDecision(const rollout::order_entry& entry, bench& judged,
                     const rollout::decision& decided);
  void LogDecision(const rollout::order_entry& entry, const rollout::decision& decided,
                   std::chrono::milliseconds age);
  /// Applies a verdict here and logs a change.
  void ApplyVerdict(const std::string& service, std::uint64_t order_revision, bool rolled_back,
                    std::string_view reason);
  [[nodiscard]] static wire::rollout_verdict_t MakeVerdict(const rollout::order_entry& entry);
  void Announce(const rollout::order_entry& entry, bench& judged);
  /// Starts a fiber that records a final state until the store has it or the decision is overruled.
  void Record(const rollout::order_entry& entry, bench& judged, rollout::order_state state);
  void RecordInStore(const rollout::order& target, std::uint64_t revision,
                     rollout::order_state state);
  /// Returns the addresses of the judges of an order, the first one first.
  [[nodiscard]] std::vector<std::string> FindJudges(std::uint64_t order_revision);
  [[nodiscard]] rollout::upstream_census CountUpstreams(const rollout::order& judged) const;
  bench& GetBench(const rollout::order_entry& entry);

  mesh_context& context_;
  rollout::order_book& book_;
  const rollout_counter& counter_;
  double share_;
  std::function<std::size_t()> count_open_calls_;
  /// Orders that this node judges, by service.
  std::map<std::string, bench> benches_;
  /// Nodes that did not reply to a report, and until when no other is sent there.
  std::map<std::string, net::steady_time> silent_until_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ROLLOUT_JUDGING_H_
