#ifndef SISKINRACK_LIB_MESH_REGISTRATION_H_
#define SISKINRACK_LIB_MESH_REGISTRATION_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <string>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Takes the heartbeats of the upstream on this machine and keeps its record in the store.
class registration {
 public:
  explicit registration(mesh_context& context) : context_(context) {}

  /// Answers one call of the upstream. A departure is acknowledged once the store has it, or after
  /// a short wait: this node alone reaches the upstream, so it keeps the promise by itself.
  net::http_response Handle(const net::http_request& request);

  /// Keeps the records as they should be; runs in a fiber of its own.
  void Run();

  /// The store shows a record of this node; revision 0 means that it was removed.
  void OnOwnRecord(const std::string& instance_id, std::uint64_t revision);

  [[nodiscard]] const routing::local_instance& instance() const { return instance_; }
  /// Whether the upstream may still get work, and its record is wanted.
  [[nodiscard]] bool Alive() const;

 private:
  /// Record as the store should have it; nothing if the upstream is gone.
  [[nodiscard]] std::optional<routing::endpoint> Wanted() const;
  [[nodiscard]] bool UpToDate() const;
  /// Makes one write towards the wanted state; false if it failed.
  bool Advance();
  bool Write(const routing::endpoint& wanted);
  bool Remove(const std::string& id, std::uint64_t revision);
  /// A record of this node that should not be in the store, with its revision.
  [[nodiscard]] std::optional<std::pair<std::string, std::uint64_t>> Outdated(
      const std::optional<routing::endpoint>& wanted) const;
  void OnWriteError(std::string_view event, const std::string& id, const fleet::store_error& error);
  /// Reads the revision of a record.
  void Learn(const std::string& instance_id);
  void AwaitPublished();
  void Wake();

  mesh_context& context_;
  routing::local_instance instance_;
  /// Revisions of this node's records by instance id, as far as known.
  std::map<std::string, std::uint64_t> known_;
  /// Last record that the store took.
  std::optional<routing::endpoint> published_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_REGISTRATION_H_
