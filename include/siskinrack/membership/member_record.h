#ifndef SISKINRACK_MEMBERSHIP_MEMBER_RECORD_H_
#define SISKINRACK_MEMBERSHIP_MEMBER_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::membership {

using member_record = wire::member_record_t;
using member_status = wire::member_status;

/// Buckets by the hash of the node id, the unit of comparison in a repair.
inline constexpr std::size_t kBuckets = 64;

/// True if `a` replaces `b`: the higher incarnation wins; within one incarnation death is final, so
/// that a late record of a dead member doesn't bring it back; then the higher sequence wins, then
/// the worse health.
bool Supersedes(const member_record& a, const member_record& b);

/// True for a member that is dead or has left.
bool IsGone(const member_record& record);
/// True for a live member that accepts new work.
bool IsEndpoint(const member_record& record);

/// Hash of a node id, the same in every process.
std::uint32_t IdHash(std::string_view node_id);
inline std::size_t BucketOf(std::uint32_t id_hash) {
  constexpr unsigned kBucketShift = 26;
  return id_hash >> kBucketShift;
}
/// Identifies the state that Supersedes compares; 0 is never returned.
std::uint32_t StateDigest(const member_record& record);

/// The compact form of a record, or nothing if an address or number doesn't fit into it.
std::optional<member_status> ToStatus(const member_record& record);
/// Applies a status to the known record of that member, or returns nothing if `known` differs in
/// the fields that a status leaves out.
std::optional<member_record> ApplyStatus(const member_status& status, const member_record& known);

/// Bytes that a record takes within a message, offsets included.
std::size_t EncodedBytes(const member_record& record);
inline constexpr std::size_t kStatusBytes = sizeof(member_status);

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_MEMBER_RECORD_H_
