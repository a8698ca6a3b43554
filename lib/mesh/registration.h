#ifndef SISKINRACK_LIB_MESH_REGISTRATION_H_
#define SISKINRACK_LIB_MESH_REGISTRATION_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Handles the heartbeats of the upstream on this VM and keeps its endpoint record in the store up
/// to date.
class registration {
 public:
  explicit registration(mesh_context& context) : context_(context) {}

  /// Handles a heartbeat or a departure of the upstream. Returns an acknowledgement, 400 for a
  /// malformed call, or 404 for any other call. A drain or a departure is acknowledged once the
  /// store has it, or after a short wait: only this node can reach the upstream, so it can enforce
  /// either by itself.
  net::http_response Handle(const net::http_request& request);

  /// Records that an answer of the upstream announced its departure. The drain period begins now,
  /// also if no heartbeat says so or the store does not answer.
  void OnAnnouncedDeparture(const routing::lifetime& life);

  /// Reconciles the records in the store with the state of the upstream until the process ends, in
  /// a fiber of its own.
  void Run();

  /// Handles a change of a record of this node in the store. Revision 0 means that the record
  /// `instance_id`, of this or another node, was removed.
  void OnOwnRecord(const std::string& instance_id, std::uint64_t revision);

  /// Writes the record of the current lifetime anew, without what other nodes added to it.
  void Rewrite() {
    published_.reset();
    NotifyChanged();
  }

  /// Handles a record of a departure in the store, of this or another node.
  void OnDepartureRecord(const routing::endpoint& departed, std::uint64_t revision);

  [[nodiscard]] const routing::local_instance& instance() const { return instance_; }
  /// Returns true if the upstream may receive work and should have a record in the store.
  [[nodiscard]] bool IsAlive() const;

 private:
  /// Returns true if a heartbeat of `life` may be applied: an earlier process of this node may have
  /// acknowledged its departure or drain, which only the store knows. Waits for the store for a
  /// short time.
  bool CheckRecord(const routing::lifetime& life);
  /// Reads the record of `life` and applies it, once the store answers.
  void ReadRecord(const routing::lifetime& life);
  /// Returns the record that the store should have, or std::nullopt if the upstream is gone.
  [[nodiscard]] std::optional<routing::endpoint> MakeDesiredRecord() const;
  [[nodiscard]] bool IsUpToDate() const;
  /// Makes at most one write towards the desired state; returns false if it failed.
  bool ReconcileOnce();
  bool Write(const routing::endpoint& desired);
  bool WriteDeparture(const routing::endpoint& departed);
  /// Creates or replaces a record of this node and returns its revision; 0 if that failed.
  std::uint64_t Store(const routing::endpoint& entry);
  bool Remove(const std::string& id, std::uint64_t revision);
  /// Returns the id and revision of a record of this node that should not be in the store.
  [[nodiscard]] std::optional<std::pair<std::string, std::uint64_t>> FindOutdated(
      const std::optional<routing::endpoint>& desired) const;
  void OnWriteError(std::string_view event, const std::string& id,
                    const platform_adapter::store_error& error);
  /// Reads the current revision of a record from the store.
  void ReadRevision(const std::string& instance_id);
  /// Waits until the store has the desired record, but not longer than kMaxPublishWait.
  void WaitUntilPublished();
  void NotifyChanged();

  mesh_context& context_;
  routing::local_instance instance_;
  /// Last known revisions of this node's records in the store, by instance id.
  std::map<std::string, std::uint64_t> revisions_;
  /// Departures that were acknowledged and are not yet recorded in the store, by instance id.
  std::map<std::string, routing::endpoint> departures_;
  /// Lifetimes whose records were read since the start, or are being read.
  std::set<routing::lifetime> read_;
  std::set<routing::lifetime> reading_;
  net::steady_time started_at_ = std::chrono::steady_clock::now();
  /// Last record that the store accepted.
  std::optional<routing::endpoint> published_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_REGISTRATION_H_
