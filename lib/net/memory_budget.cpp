#include "siskinrack/net/memory_budget.h"

#include <utility>

namespace siskinrack::net {
namespace {

/// Part of the memory of a process that the budget hands out, in percent. The rest is for the
/// program with its tables, for two copies of one body while it is converted, and for the unused
/// space in buffers and in the heap.
constexpr std::size_t kBudgetPercent = 50;
/// Part of the budget that is kept for small charges, in percent.
constexpr std::size_t kReservePercent = 25;
constexpr std::size_t kPercent = 100;

}  // namespace

std::string_view ToText(memory_use use) {
  switch (use) {
    case memory_use::kConnection:
      return "connection";
    case memory_use::kRequestBody:
      return "request_body";
    case memory_use::kResponseBody:
      return "response_body";
    case memory_use::kFrame:
      break;
  }
  return "frame";
}

memory_limits ComputeMemoryLimits(std::size_t process_bytes) {
  const std::size_t total = process_bytes / kPercent * kBudgetPercent;
  return {.total = total, .reserve = total / kPercent * kReservePercent};
}

std::size_t memory_budget::FindLimit(memory_use use, std::size_t size) const {
  if (size <= limits_.small_charge) return limits_.total;
  return limits_.total - (use == memory_use::kRequestBody ? limits_.reserve : limits_.reserve / 2);
}

bool memory_budget::HasRoom(memory_use use, std::size_t bytes) const {
  const std::size_t limit = FindLimit(use, bytes);
  const std::size_t used = used_;
  return used <= limit && bytes <= limit - used;
}

bool memory_budget::Add(memory_use use, std::size_t bytes, std::size_t size) {
  const std::size_t limit = FindLimit(use, size);
  std::size_t used = used_;
  do {
    if (used > limit || bytes > limit - used) {
      ++refused_[ToIndex(use)];
      return false;
    }
  } while (!used_.compare_exchange_weak(used, used + bytes));
  used_by_[ToIndex(use)] += bytes;
  return true;
}

void memory_budget::AddUnchecked(memory_use use, std::size_t bytes) {
  used_ += bytes;
  used_by_[ToIndex(use)] += bytes;
}

void memory_budget::GiveBack(memory_use use, std::size_t bytes) {
  used_ -= bytes;
  used_by_[ToIndex(use)] -= bytes;
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : budget_(other.budget_), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept {
  if (this == &other) return *this;
  Release();
  budget_ = other.budget_;
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool memory_charge::Resize(std::size_t bytes) {
  if (bytes > bytes_ && budget_ != nullptr && !budget_->Add(use_, bytes - bytes_, bytes)) {
    return false;
  }
  if (bytes < bytes_ && budget_ != nullptr) budget_->GiveBack(use_, bytes_ - bytes);
  bytes_ = bytes;
  return true;
}

void memory_charge::ForceResize(std::size_t bytes) {
  if (bytes > bytes_ && budget_ != nullptr) budget_->AddUnchecked(use_, bytes - bytes_);
  if (bytes < bytes_ && budget_ != nullptr) budget_->GiveBack(use_, bytes_ - bytes);
  bytes_ = bytes;
}

}  // namespace siskinrack::net
