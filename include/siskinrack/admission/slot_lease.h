#ifndef SISKINRACK_ADMISSION_SLOT_LEASE_H_
#define SISKINRACK_ADMISSION_SLOT_LEASE_H_

#include <chrono>
#include <cstdint>

#include "siskinrack/admission/controller.h"

namespace siskinrack::admission {

/// Holds the slot of an admitted call and frees it at the end of its scope, also if the scope is
/// left by an exception: a slot that is never freed is lost until the process ends. `Gate` is a
/// slot_gate.
template <typename Gate>
class slot_lease {
 public:
  /// Takes over the ticket of an admitted decision; `gate` must outlive the lease.
  slot_lease(Gate& gate, std::uint64_t ticket) : gate_(gate), ticket_(ticket) {}
  ~slot_lease() { gate_.Release(ticket_, result_, retry_after_); }
  slot_lease(const slot_lease&) = delete;
  slot_lease& operator=(const slot_lease&) = delete;

  /// Sets what Release is told. Without it the call counts as abandoned, which says nothing about
  /// the upstream.
  void SetResult(call_result result, std::chrono::milliseconds retry_after) {
    result_ = result;
    retry_after_ = retry_after;
  }

 private:
  Gate& gate_;
  std::uint64_t ticket_;
  call_result result_ = call_result::kAbandoned;
  std::chrono::milliseconds retry_after_{0};
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_SLOT_LEASE_H_
