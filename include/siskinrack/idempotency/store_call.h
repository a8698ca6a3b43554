#ifndef SISKINRACK_IDEMPOTENCY_STORE_CALL_H_
#define SISKINRACK_IDEMPOTENCY_STORE_CALL_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "siskinrack/platform/object_store.h"

namespace siskinrack::idempotency {

/// Operation of a store_call.
enum class store_call_kind { kGet, kPut, kDelete };

/// Represents a platform call that a shard owner requests.
struct store_call {
  store_call_kind kind = store_call_kind::kGet;
  std::string name;
  /// Set for kPut only.
  std::string value;
  /// Condition of kPut and kDelete.
  std::uint64_t expected_version = platform::kMustNotExist;
};

/// Holds the result of a call: the object that was read, the name and new version of the object
/// that was written, the name of the object that was deleted with an unspecified version, or the
/// error.
using store_call_result = platform::store_result<platform::stored_object>;

/// Executes a call on `store`.
template <platform::object_store Store>
store_call_result RunCall(Store& store, const store_call& call) {
  if (call.kind == store_call_kind::kGet) return store.Get(call.name);
  auto result = call.kind == store_call_kind::kPut
                    ? store.Put(call.name, call.value, call.expected_version)
                    : store.Delete(call.name, call.expected_version);
  if (auto* error = std::get_if<platform::store_error>(&result)) return std::move(*error);
  return platform::stored_object{call.name, std::get<std::uint64_t>(result), {}};
}

}  // namespace siskinrack::idempotency

#endif  // SISKINRACK_IDEMPOTENCY_STORE_CALL_H_
