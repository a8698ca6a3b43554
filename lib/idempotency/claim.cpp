#include "siskinrack/idempotency/claim.h"

#include <algorithm>

namespace siskinrack::idempotency {
namespace {

std::uint64_t Mix(std::uint64_t value) {
  // Finalizer of splitmix64; with FNV-1a alone, similar texts have similar high bits.
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

}  // namespace

std::size_t ContentBytes(const stored_answer& answer) {
  std::size_t size = answer.body.size();
  for (const auto& [name, value] : answer.fields) size += name.size() + value.size();
  return size;
}

std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  return Mix(hash);
}

std::size_t ShardForKey(std::string_view key) { return StableHash(key) % kShards; }

std::string SelectOwner(std::size_t shard, const std::vector<std::string>& members) {
  const std::string prefix = std::to_string(shard) + '/';
  const auto owner = std::max_element(
      members.begin(), members.end(), [&](const std::string& a, const std::string& b) {
        return std::pair(StableHash(prefix + a), a) < std::pair(StableHash(prefix + b), b);
      });
  return owner == members.end() ? std::string() : *owner;
}

}  // namespace siskinrack::idempotency
