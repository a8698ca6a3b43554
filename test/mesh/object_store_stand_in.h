#ifndef SISKINRACK_TEST_MESH_OBJECT_STORE_STAND_IN_H_
#define SISKINRACK_TEST_MESH_OBJECT_STORE_STAND_IN_H_

#include <boost/json.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "siskinrack/net/http_server.h"

namespace siskinrack::test {

/// Stand-in for the objects API of the users' platform. Supports kinds and names, one revision
/// counter, lists in pages, watches, conditional writes, and the faults that the platform's
/// documentation names.
class object_store_stand_in {
 public:
  object_store_stand_in(net::fiber_runtime& runtime, support::socket_address address);
  ~object_store_stand_in();

  /// Writes an object as the operator does and returns its revision, which stays the same if the
  /// content does.
  std::uint64_t Write(const std::string& kind, const std::string& name, boost::json::value spec);
  /// Returns the content of an object, or null if there is none.
  [[nodiscard]] boost::json::value Read(const std::string& kind, const std::string& name) const;
  /// Returns the status of an object, or null if there is none.
  [[nodiscard]] boost::json::value ReadStatus(const std::string& kind,
                                              const std::string& name) const;
  /// Returns the number of objects of a kind.
  [[nodiscard]] std::size_t Count(const std::string& kind) const;

  /// Answers 503 to every call while `down` is true.
  void SetDown(bool down);
  /// Accepts calls without an answer while `silent` is true. Calls that arrive or wait in that time
  /// are never answered.
  void SetSilent(bool silent);
  /// Never answers the watches of a kind that wait now; their connections stay open.
  void SilenceWatches(const std::string& kind);
  /// Applies the next `count` writes without an answer.
  void LoseWriteAnswers(int count);
  /// Returns the number of calls for a kind, including refused ones, that were not stale reads. A
  /// stale read costs a tenth of any other call.
  [[nodiscard]] std::size_t CountNonStaleCalls(const std::string& kind) const;
  /// While `frozen` is true, stale lists report the revision that the store had at this call. Their
  /// objects are still current.
  void FreezeStaleReads(bool frozen);
  /// Stale watches show the changes that are older than `lag` only, and the revision of that time.
  void SetStaleLag(std::chrono::milliseconds lag);
  /// Returns how often a kind was listed; pages after the first don't count.
  [[nodiscard]] std::size_t CountLists(const std::string& kind) const;
  /// Discards the history: watches from an older revision fail with 410.
  void ForgetHistory();

 private:
  struct object {
    std::uint64_t revision = 0;
    boost::json::value spec;
    boost::json::value status;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool deleted = false;
    object state;
    std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now();
  };
  struct call {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;
  };

  static call Parse(const std::string& target);
  static boost::json::object ToJson(const std::string& name, const object& stored);
  net::http_response Handle(const net::http_request& request, net::cancellation& cancel);
  net::http_response List(const call& request) const;
  net::http_response Watch(const call& request, net::cancellation& cancel);
  net::http_response Mutate(const net::http_request& request, call target);
  std::uint64_t Store(const std::string& kind, const std::string& name, boost::json::value spec);
  void StoreStatus(const std::string& kind, const std::string& name, boost::json::value status);
  void Erase(const std::string& kind, const std::string& name);

  mutable std::mutex mutex_;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::deque<change> history_;
  std::uint64_t revision_ = 1;
  /// Oldest revision from which a watch can start.
  std::uint64_t history_start_ = 0;
  bool down_ = false;
  /// Number of times that SetSilent(true) was called. Watches that began before the last one are
  /// never answered.
  std::uint64_t silence_count_ = 0;
  bool silent_ = false;
  /// Number of calls of SilenceWatches by kind.
  std::map<std::string, std::uint64_t> silenced_watches_;
  /// Number of next writes that are applied without an answer.
  int unanswered_writes_ = 0;
  std::map<std::string, std::size_t> non_stale_calls_;
  mutable std::map<std::string, std::size_t> list_counts_;
  /// Revision that stale lists report; 0 for the current one.
  std::uint64_t stale_revision_ = 0;
  std::chrono::milliseconds stale_lag_{0};
  net::http_server server_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_MESH_OBJECT_STORE_STAND_IN_H_
