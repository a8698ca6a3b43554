#ifndef SISKINRACK_MEMBERSHIP_DISSEMINATION_QUEUE_H_
#define SISKINRACK_MEMBERSHIP_DISSEMINATION_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinrack::membership {

/// Represents a duration, or a time on a monotonic clock as the duration since a point that is the
/// same for all calls.
using time_ms = std::chrono::milliseconds;

/// Represents a changed record that waits for transmission.
struct queued_change {
  std::string node_id;
  /// Requires the full record instead of a status, since receivers lack its fixed fields.
  bool full_record = false;
};

/// Holds the changed records that this node still has to disseminate. The changes sent least often
/// come first, and urgent ones come ahead of the others for their first transmissions. Among equals
/// the latest change comes first. Not thread-safe.
class dissemination_queue {
 public:
  /// Adds a change that was not sent yet, or replaces the earlier change of that member.
  /// `full_record` requires full records for the first transmissions, and stays set if the replaced
  /// change required them.
  void Add(const std::string& node_id, bool full_record, bool urgent);
  /// Removes the change of a member, if there is one.
  void Remove(const std::string& node_id) { changes_.erase(node_id); }
  /// Counts the receipt of a change that this node already holds as one transmission: other nodes
  /// disseminate the change too, so this node has to send it less often. Removes the change after
  /// `limit` transmissions.
  void CountDuplicate(const std::string& node_id, unsigned limit) { CountSent(node_id, limit); }

  /// Returns the changes in the order in which they are to be sent.
  [[nodiscard]] std::vector<queued_change> InSendOrder() const;
  /// Counts one transmission of a change and removes the change after `limit` transmissions. Does
  /// nothing if the queue has no change of the member.
  void CountSent(const std::string& node_id, unsigned limit);
  /// Returns the number of queued changes.
  [[nodiscard]] std::size_t size() const { return changes_.size(); }

 private:
  struct change {
    bool full_record = false;
    bool urgent = false;
    unsigned sent = 0;
    std::uint64_t order = 0;
  };

  /// Returns the send priority of a change; lower values are sent first.
  static unsigned GetPriority(const change& entry);

  std::map<std::string, change> changes_;
  std::uint64_t next_order_ = 0;
};

/// Returns the maximum number of times that one node sends one change: ceil(3 log2(members)), where
/// fewer than 2 members count as 2.
unsigned TransmissionLimit(std::size_t members);

/// Limits a byte rate with a token bucket of `burst_bytes`, which is full at first. Not
/// thread-safe.
class byte_budget {
 public:
  byte_budget(double bytes_per_second, double burst_bytes)
      : rate_(bytes_per_second), burst_(burst_bytes), available_bytes_(burst_bytes) {}

  /// Returns the bytes that may be spent at `now`. A `now` before that of an earlier call adds
  /// none.
  std::size_t Available(time_ms now);
  /// Spends bytes, if necessary more than are available; the rate then has to make up for the
  /// excess before bytes are available again.
  void Spend(std::size_t bytes) { available_bytes_ -= static_cast<double>(bytes); }

 private:
  double rate_;
  double burst_;
  double available_bytes_;
  time_ms last_refill_{0};
};

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_DISSEMINATION_QUEUE_H_
