#ifndef SISKINRACK_PLATFORM_OBJECT_STORE_H_
#define SISKINRACK_PLATFORM_OBJECT_STORE_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace siskinrack::platform {

/// Represents an object with the version that the platform assigned; versions of one object only
/// increase.
struct stored_object {
  std::string name;
  std::uint64_t version = 0;
  std::string value;
};

/// Classifies the failure of a call.
enum class store_errc {
  /// The call didn't take effect: the platform was unreachable or returned a server error, or the
  /// call budget is used up.
  kUnavailable,
  /// The platform rejected the call because of its rate limits.
  kRateLimited,
  /// The version of the object isn't the expected one.
  kConflict,
  kNotFound,
  /// A write was sent and its response was lost or carried no version; it may have taken effect.
  kOutcomeUnknown,
  /// The response has an unexpected status, or a field or body that can't be parsed. A write may
  /// have taken effect.
  kBadAnswer,
  /// The platform no longer stores the changes since the revision of a watch.
  kHistoryGone,
};

/// Represents a failed call.
struct store_error {
  store_errc code = store_errc::kUnavailable;
  /// Describes the failure.
  std::string message;
  /// Time to wait before the next call of this class, as the platform or the call budget requires;
  /// 0 if neither does.
  std::chrono::milliseconds retry_after{0};
};

/// Returns the name of an error code in snake_case.
std::string_view ToText(store_errc code);

/// Holds the value of a call or its error.
template <typename Value>
using store_result = std::variant<Value, store_error>;

/// Expected version of a write: 0 means that the object must not exist yet.
inline constexpr std::uint64_t kMustNotExist = 0;

/// Holds the objects that changed under a prefix. `revision` is the argument of the next watch.
struct watch_result {
  std::uint64_t revision = 0;
  std::vector<stored_object> changed;
};

/// Requires the operations of a client of the platform's object API, see http_object_store. The
/// users' platform has another API, see platform_adapter::objects_client. Put and Delete take the
/// version that the object must have, and fail with kConflict otherwise. Put returns the new
/// version; the number that Delete returns is unspecified. Watch waits up to `wait` for changes.
template <typename Store>
concept object_store = requires(Store& store, std::string_view name, std::uint64_t version,
                                std::string value, std::chrono::milliseconds wait) {
  { store.Get(name) } -> std::same_as<store_result<stored_object>>;
  { store.Put(name, value, version) } -> std::same_as<store_result<std::uint64_t>>;
  { store.Delete(name, version) } -> std::same_as<store_result<std::uint64_t>>;
  { store.List(name) } -> std::same_as<store_result<std::vector<stored_object>>>;
  { store.Watch(name, version, wait) } -> std::same_as<store_result<watch_result>>;
};

}  // namespace siskinrack::platform

#endif  // SISKINRACK_PLATFORM_OBJECT_STORE_H_
