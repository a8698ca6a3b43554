#ifndef SISKINRACK_PLATFORM_HTTP_OBJECT_STORE_H_
#define SISKINRACK_PLATFORM_HTTP_OBJECT_STORE_H_

#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <random>

#include "siskinrack/net/http_client.h"
#include "siskinrack/platform/call_budget.h"
#include "siskinrack/platform/json_items.h"
#include "siskinrack/platform/object_store.h"

namespace siskinrack::platform {

/// Message of the error for a call that was not sent because the call budget of this process is
/// used up.
inline constexpr std::string_view kCallBudgetExhausted = "call budget exhausted";

/// Accesses the object API that node::node and siskinctl use, over HTTP:
///   GET    /objects/<name>                              one object; ETag is its version
///   PUT    /objects/<name>  If-Match | If-None-Match:*  conditional write
///   DELETE /objects/<name>  If-Match                    conditional removal
///   GET    /objects?prefix=<prefix>                     list
///   GET    /watch?prefix=<prefix>&since=<revision>&wait_ms=<ms>
/// Must be called from fibers of the runtime. Thread-safe. A call that the call budget doesn't
/// permit fails at once with kUnavailable and kCallBudgetExhausted.
class http_object_store {
 public:
  struct options {
    support::socket_address address;
    /// Time limit of a call; a watch may take its `wait` in addition.
    std::chrono::milliseconds call_timeout{2'000};
    /// Call budget of each call class.
    double calls_per_second = 20;
    double call_burst = 40;
    /// Called with the reason for each object of a list or watch that is left out because it can't
    /// be decoded; may be empty.
    std::function<void(std::string_view problem)> on_unreadable;
  };

  http_object_store(net::fiber_runtime& runtime, const options& settings);

  /// Returns an object, or kNotFound.
  store_result<stored_object> Get(std::string_view name);
  /// Writes an object whose version is `expected_version` (kMustNotExist: a new object) and returns
  /// its new version. Fails with kConflict if it has another version.
  store_result<std::uint64_t> Put(std::string_view name, std::string value,
                                  std::uint64_t expected_version);
  /// Removes an object whose version is `expected_version` and returns that version. Fails with
  /// kConflict if it has another version.
  store_result<std::uint64_t> Delete(std::string_view name, std::uint64_t expected_version);
  /// Returns the objects whose names begin with `prefix`, except those that can't be decoded.
  store_result<std::vector<stored_object>> List(std::string_view prefix);
  /// Waits up to `wait` for changes under `prefix` after the revision `since`. Leaves out objects
  /// that can't be decoded.
  store_result<watch_result> Watch(std::string_view prefix, std::uint64_t since,
                                   std::chrono::milliseconds wait);

  /// Returns the number of calls of a class sent to the platform since the start.
  [[nodiscard]] std::uint64_t calls(call_class kind) const {
    return calls_.at(static_cast<std::size_t>(kind));
  }
  /// Returns the number of calls of all classes sent to the platform since the start.
  [[nodiscard]] std::uint64_t calls() const {
    return calls(call_class::kRead) + calls(call_class::kWrite) + calls(call_class::kWatch);
  }
  /// Returns the number of objects that were left out since the start.
  [[nodiscard]] std::uint64_t unreadable() const { return unreadable_; }

 private:
  std::variant<net::http_response, store_error> Call(call_class kind, net::http_request request,
                                                     std::chrono::milliseconds timeout);
  void RecordOutcome(call_class kind, const net::http_result& result,
                     std::chrono::milliseconds retry_after);

  /// Decodes the objects of an answer one by one.
  store_result<std::vector<stored_object>> DecodeObjects(const std::vector<json_member>& members);

  net::http_client client_;
  options options_;
  std::mutex mutex_;
  call_budget budget_;
  std::mt19937_64 random_{std::random_device{}()};
  std::array<std::atomic<std::uint64_t>, kCallClasses> calls_{};
  std::atomic<std::uint64_t> unreadable_ = 0;
};

static_assert(object_store<http_object_store>);

}  // namespace siskinrack::platform

#endif  // SISKINRACK_PLATFORM_HTTP_OBJECT_STORE_H_
