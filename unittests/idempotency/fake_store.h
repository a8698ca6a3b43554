#ifndef SISKINRACK_UNITTESTS_IDEMPOTENCY_FAKE_STORE_H_
#define SISKINRACK_UNITTESTS_IDEMPOTENCY_FAKE_STORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "siskinrack/platform/object_store.h"

namespace siskinrack::test {

/// Simulates the platform's object store in memory. Writes can lose their answer, take effect late,
/// or fail.
class fake_store {
 public:
  bool down = false;
  /// Number of next writes that take effect but whose answer is lost.
  int lose_answers = 0;
  /// Number of next writes that get no answer and take effect only with ApplyDelayed.
  int delay_writes = 0;
  /// Number of next writes that are not made because the call budget is exhausted.
  int budget_refusals = 0;
  std::size_t writes = 0;
  std::size_t reads = 0;
  std::size_t written_bytes = 0;

  platform::store_result<platform::stored_object> Get(std::string_view name) {
    if (down) return Error(platform::store_errc::kUnavailable);
    ++reads;
    const auto found = objects_.find(std::string(name));
    if (found == objects_.end()) return Error(platform::store_errc::kNotFound);
    return found->second;
  }

  platform::store_result<std::uint64_t> Put(std::string_view name, std::string value,
                                            std::uint64_t expected) {
    if (down) return Error(platform::store_errc::kUnavailable);
    if (budget_refusals > 0) {
      --budget_refusals;
      return platform::store_error{platform::store_errc::kUnavailable, "call budget",
                                   std::chrono::milliseconds(40)};
    }
    ++writes;
    written_bytes += value.size();
    if (delay_writes > 0) {
      --delay_writes;
      delayed_.push_back({std::string(name), expected, std::move(value)});
      return Error(platform::store_errc::kOutcomeUnknown);
    }
    auto result = Apply(name, std::move(value), expected);
    if (lose_answers > 0) {
      --lose_answers;
      return Error(platform::store_errc::kOutcomeUnknown);
    }
    return result;
  }

  platform::store_result<std::uint64_t> Delete(std::string_view name, std::uint64_t expected) {
    if (down) return Error(platform::store_errc::kUnavailable);
    ++writes;
    const auto found = objects_.find(std::string(name));
    if (found == objects_.end()) return Error(platform::store_errc::kNotFound);
    if (found->second.version != expected) return Error(platform::store_errc::kConflict);
    objects_.erase(found);
    return ++revision_;
  }

  platform::store_result<std::vector<platform::stored_object>> List(std::string_view prefix) {
    std::vector<platform::stored_object> list;
    for (const auto& [name, object] : objects_) {
      if (name.starts_with(prefix)) list.push_back(object);
    }
    return list;
  }

  platform::store_result<platform::watch_result> Watch(std::string_view, std::uint64_t,
                                                       std::chrono::milliseconds) {
    return Error(platform::store_errc::kUnavailable);
  }

  /// Applies the oldest delayed write, if its condition still holds.
  void ApplyDelayed() {
    if (delayed_.empty()) return;
    platform::stored_object write = std::move(delayed_.front());
    delayed_.pop_front();
    Apply(write.name, std::move(write.value), write.version);
  }

  [[nodiscard]] std::size_t size() const { return objects_.size(); }

 private:
  static platform::store_error Error(platform::store_errc code) { return {code, "fake", {}}; }

  platform::store_result<std::uint64_t> Apply(std::string_view name, std::string value,
                                              std::uint64_t expected) {
    const auto found = objects_.find(std::string(name));
    const std::uint64_t current = found == objects_.end() ? 0 : found->second.version;
    if (current != expected) return Error(platform::store_errc::kConflict);
    objects_[std::string(name)] = {std::string(name), ++revision_, std::move(value)};
    return revision_;
  }

  std::map<std::string, platform::stored_object> objects_;
  /// Writes with their expected versions.
  std::deque<platform::stored_object> delayed_;
  std::uint64_t revision_ = 0;
};

static_assert(platform::object_store<fake_store>);

}  // namespace siskinrack::test

#endif  // SISKINRACK_UNITTESTS_IDEMPOTENCY_FAKE_STORE_H_
