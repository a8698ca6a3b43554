#ifndef SISKINRACK_TEST_MESH_OBJECT_STORE_STAND_IN_H_
#define SISKINRACK_TEST_MESH_OBJECT_STORE_STAND_IN_H_

#include <boost/json.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "siskinrack/net/http_server.h"

namespace siskinrack::test {

/// Stand-in for the objects API of the users' platform: kinds and names, one revision counter,
/// lists in pages, watches, conditional writes, and the faults that the platform's pages name.
class object_store_stand_in {
 public:
  object_store_stand_in(net::fiber_runtime& runtime, support::socket_address address);
  ~object_store_stand_in();

  /// Writes an object as the operator does; returns its revision.
  std::uint64_t Write(const std::string& kind, const std::string& name, boost::json::value spec);
  /// Content of an object; null if there is none.
  [[nodiscard]] boost::json::value Read(const std::string& kind, const std::string& name) const;
  [[nodiscard]] std::size_t Count(const std::string& kind) const;

  /// Answers 503 to everything.
  void SetDown(bool down);
  /// Takes calls and answers none until it is called again; calls that wait then stay unanswered.
  void SetSilent(bool silent);
  /// The next writes are carried out and not answered.
  void LoseWriteAnswers(int count);
  /// Calls at the full price that were made for a kind, refused ones included.
  [[nodiscard]] std::size_t FullPriceCalls(const std::string& kind) const;
  /// Stale reads show the state of now until they are thawed.
  void FreezeStaleReads(bool frozen);
  /// Lists that were made of a kind.
  [[nodiscard]] std::size_t Lists(const std::string& kind) const;
  /// Drops the history: watches from an older revision get 410.
  void ForgetHistory();

 private:
  struct object {
    std::uint64_t revision = 0;
    boost::json::value spec;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool deleted = false;
    object state;
  };
  struct call {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;
  };

  static call Parse(const std::string& target);
  static boost::json::object ToJson(const std::string& name, const object& item);
  net::http_response Handle(const net::http_request& request, net::cancellation& cancel);
  net::http_response List(const call& request) const;
  net::http_response Watch(const call& request, net::cancellation& cancel);
  net::http_response Mutate(const net::http_request& request, call target);
  std::uint64_t Store(const std::string& kind, const std::string& name, boost::json::value spec);
  void Erase(const std::string& kind, const std::string& name);

  mutable std::mutex mutex_;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::deque<change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t forgotten_ = 0;
  bool down_ = false;
  /// Grows when the store goes silent; calls of an earlier time are never answered.
  std::uint64_t silence_ = 0;
  bool silent_ = false;
  int lost_answers_ = 0;
  std::map<std::string, std::size_t> full_price_calls_;
  mutable std::map<std::string, std::size_t> lists_;
  /// State that stale reads show; 0 for the newest.
  std::uint64_t stale_revision_ = 0;
  net::http_server server_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_MESH_OBJECT_STORE_STAND_IN_H_
