#ifndef SISKINRACK_MEMBERSHIP_DISSEMINATION_QUEUE_H_
#define SISKINRACK_MEMBERSHIP_DISSEMINATION_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinrack::membership {

/// Time since an arbitrary fixed point that is the same for all calls.
using time_ms = std::chrono::milliseconds;

/// A changed record that a message shall carry.
struct queued_change {
  std::string node_id;
  /// The whole record is needed, since receivers don't know its fixed fields yet.
  bool whole = false;
};

/// Changed records that are still to be passed on. Those sent least often go first, urgent ones
/// with a lead. Not safe for use from several threads.
class dissemination_queue {
 public:
  /// Adds a change, or replaces the earlier one of that member.
  void Add(const std::string& node_id, bool whole, bool urgent);
  void Remove(const std::string& node_id) { changes_.erase(node_id); }
  /// A peer sent a change that this node had already: others spread it too, so it needs fewer
  /// transmissions from here.
  void CountDuplicate(const std::string& node_id, unsigned limit) { CountSent(node_id, limit); }

  /// Changes in the order of sending.
  [[nodiscard]] std::vector<queued_change> Ordered() const;
  /// Counts one transmission and drops the change after `limit` of them.
  void CountSent(const std::string& node_id, unsigned limit);
  [[nodiscard]] std::size_t size() const { return changes_.size(); }

 private:
  struct change {
    bool whole = false;
    bool urgent = false;
    unsigned sent = 0;
    std::uint64_t order = 0;
  };

  /// Lower values are sent first.
  static unsigned Priority(const change& entry);

  std::map<std::string, change> changes_;
  std::uint64_t next_order_ = 0;
};

/// Most transmissions of one change by one node: ceil(3 log2 members).
unsigned TransmissionLimit(std::size_t members);

/// Spends at most a given number of bytes per second, with a burst.
class byte_budget {
 public:
  byte_budget(double bytes_per_second, double burst_bytes)
      : rate_(bytes_per_second), burst_(burst_bytes), left_(burst_bytes) {}

  /// Bytes that may be spent at `now`.
  std::size_t Available(time_ms now);
  void Spend(std::size_t bytes) { left_ -= static_cast<double>(bytes); }

 private:
  double rate_;
  double burst_;
  double left_;
  time_ms last_{0};
};

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_DISSEMINATION_QUEUE_H_
