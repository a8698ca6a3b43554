#ifndef SISKINRACK_CONFIG_VALIDATION_H_
#define SISKINRACK_CONFIG_VALIDATION_H_

#include <cstddef>
#include <cstdint>

#include "siskinrack/config/model.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::config {

inline constexpr std::size_t kMaxServices = 1024;
inline constexpr std::size_t kMaxRoutes = 4096;
inline constexpr std::size_t kMaxRanks = 16;
inline constexpr std::size_t kMaxNameBytes = 63;
inline constexpr std::size_t kMaxPrefixBytes = 512;
inline constexpr std::uint32_t kMaxSlots = 1024;
inline constexpr std::uint32_t kMaxTargetMs = 30'000;

/// Checks names, limits and references: names and prefixes are valid and unique, list sizes and
/// values are in range, every route refers to an active service and an existing rank, and the
/// floors sum to at most 100 percent. Adds every problem to `problems`. The lists must be sorted by
/// name.
void Validate(const mesh_resources& resources, support::findings& problems);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_VALIDATION_H_
