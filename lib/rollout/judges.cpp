#include "siskinrack/rollout/judges.h"

#include <algorithm>
#include <utility>

namespace siskinrack::rollout {

std::uint64_t HashStable(std::string_view text, std::uint64_t seed) {
  // FNV-1a, followed by the mixing step of SplitMix64: FNV alone leaves the high bits of similar
  // texts alike.
  constexpr std::uint64_t kOffset = 14'695'981'039'346'656'037ULL;
  constexpr std::uint64_t kPrime = 1'099'511'628'211ULL;
  constexpr int kByteBits = 8;
  std::uint64_t hash = kOffset;
  for (int shift = 0; shift < 64; shift += kByteBits) {
    hash = (hash ^ ((seed >> shift) & 0xFFU)) * kPrime;
  }
  for (const char byte : text) hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  hash = (hash ^ (hash >> 30)) * 0xBF58476D1CE4E5B9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94D049BB133111EBULL;
  return hash ^ (hash >> 31);
}

std::vector<std::string> ChooseJudges(std::span<const std::string> nodes,
                                      std::uint64_t order_revision) {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(nodes.size());
  for (const std::string& node : nodes) ranked.emplace_back(HashStable(node, order_revision), node);
  const std::size_t count = std::min(kJudges, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<std::string> judges;
  for (std::size_t i = 0; i < count; ++i) judges.push_back(std::move(ranked[i].second));
  return judges;
}

}  // namespace siskinrack::rollout
