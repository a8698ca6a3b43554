#ifndef SISKINRACK_NET_MEMORY_BUDGET_H_
#define SISKINRACK_NET_MEMORY_BUDGET_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

namespace siskinrack::net {

/// What a charge of a memory_budget is used for.
enum class memory_use {
  /// Fiber and buffers of a connection of a client.
  kConnection,
  /// Body of a request that is being received or handled.
  kRequestBody,
  /// Body of a response that is being received or written.
  kResponseBody,
  /// Frame of a link to another node.
  kFrame,
};
inline constexpr std::size_t kMemoryUses = 4;

/// Returns the name of a use in metrics and log lines.
std::string_view ToText(memory_use use);

/// Limits of a memory_budget, in bytes.
struct memory_limits {
  /// Limit of all charges together.
  std::size_t total = std::numeric_limits<std::size_t>::max();
  /// Part of `total` that large request bodies can't take, and half of which no large charge can
  /// take. It keeps memory for small requests, and for answers to requests that have run, while
  /// large request bodies use up the rest.
  std::size_t reserve = 0;
  /// Largest size of a charge that may use the reserve.
  std::size_t small_charge = kDefaultSmallCharge;

  /// Covers the fiber of a connection and the bodies of ordinary requests.
  static constexpr std::size_t kDefaultSmallCharge = 64U << 10U;
};

/// Returns the limits for a process that may use `process_bytes` of memory.
memory_limits ComputeMemoryLimits(std::size_t process_bytes);

/// Counts the memory that clients, upstreams and other nodes cause a process to take. Memory is
/// charged before it is taken. Thread-safe.
class memory_budget {
 public:
  explicit memory_budget(memory_limits limits = {}) : limits_(limits) {}
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  /// Returns the number of charged bytes.
  [[nodiscard]] std::size_t used() const { return used_; }
  [[nodiscard]] std::size_t used(memory_use use) const { return used_by_[ToIndex(use)]; }
  /// Returns the number of charges that were refused.
  [[nodiscard]] std::uint64_t refused(memory_use use) const { return refused_[ToIndex(use)]; }
  [[nodiscard]] const memory_limits& limits() const { return limits_; }
  /// Returns true if a new charge of `bytes` would be granted now.
  [[nodiscard]] bool HasRoom(memory_use use, std::size_t bytes) const;

 private:
  friend class memory_charge;

  static std::size_t ToIndex(memory_use use) { return static_cast<std::size_t>(use); }
  /// Returns the limit for a holder whose charge is `size` bytes in total.
  [[nodiscard]] std::size_t FindLimit(memory_use use, std::size_t size) const;
  /// Adds `bytes` to a charge that is `size` bytes afterwards; returns false if they don't fit.
  bool Add(memory_use use, std::size_t bytes, std::size_t size);
  void AddUnchecked(memory_use use, std::size_t bytes);
  void GiveBack(memory_use use, std::size_t bytes);

  memory_limits limits_;
  std::atomic<std::size_t> used_ = 0;
  std::array<std::atomic<std::size_t>, kMemoryUses> used_by_{};
  std::array<std::atomic<std::uint64_t>, kMemoryUses> refused_{};
};

/// Owns a charge of a memory_budget and gives it back on destruction. Without a budget, every size
/// is granted. Not thread-safe; the budget must outlive it.
class memory_charge {
 public:
  memory_charge() = default;
  memory_charge(memory_budget* budget, memory_use use) : budget_(budget), use_(use) {}
  ~memory_charge() { Release(); }
  memory_charge(memory_charge&& other) noexcept;
  memory_charge& operator=(memory_charge&& other) noexcept;

  /// Sets the size of the charge. Returns false, and changes nothing, if a larger size doesn't fit
  /// into the budget.
  [[nodiscard]] bool Resize(std::size_t bytes);
  /// Sets the size of the charge even if it exceeds the budget, for memory that is already taken.
  void ForceResize(std::size_t bytes);
  void Release() { ForceResize(0); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  [[nodiscard]] memory_use use() const { return use_; }

 private:
  memory_budget* budget_ = nullptr;
  memory_use use_ = memory_use::kConnection;
  std::size_t bytes_ = 0;
};

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_MEMORY_BUDGET_H_
