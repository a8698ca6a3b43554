#ifndef SISKINRACK_MEMBERSHIP_MEMBER_RECORD_H_
#define SISKINRACK_MEMBERSHIP_MEMBER_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::membership {

/// Represents the state of one member, as nodes exchange it.
using member_record = wire::member_record_t;
/// Represents a record in compact form, without its fixed fields: node id, failure domain, region,
/// service, slots and the IP address of the admin address. Hashes of the node id and of these
/// fields replace them.
using member_status = wire::member_status;

/// Number of buckets into which records are divided by the hash of the node id. A repair compares
/// tables bucket by bucket.
inline constexpr std::size_t kBuckets = 64;

/// Returns true if `a` replaces `b`, a record of the same member. The higher incarnation takes
/// precedence; within one incarnation death is final, so that a late record of a dead member
/// doesn't revive it; then the higher sequence takes precedence, then the worse health. Of two
/// dead records of one incarnation, neither replaces the other.
bool Supersedes(const member_record& a, const member_record& b);

/// Returns true for a member that is dead or has left.
bool IsGone(const member_record& record);
/// Returns true for a member to which new work may be routed: it is alive, and its upstream is
/// starting or serving.
bool IsEndpoint(const member_record& record);

/// Returns the hash of a node id, which is the same in every process.
std::uint32_t IdHash(std::string_view node_id);
/// Returns the bucket, from 0 to kBuckets - 1, of a node id with this hash.
inline std::size_t BucketIndex(std::uint32_t id_hash) {
  constexpr unsigned kBucketShift = 26;  // leaves the log2(kBuckets) highest bits
  return id_hash >> kBucketShift;
}
/// Returns a digest of the node id and the state that Supersedes compares. It is never 0.
std::uint32_t StateDigest(const member_record& record);

/// Returns the compact form of a record, or std::nullopt if it has none: an address isn't
/// "ip:port", or the sequence or the served version exceeds 32 bits.
std::optional<member_status> ToStatus(const member_record& record);
/// Returns `known` updated with a status of the same member, whichever is later, or std::nullopt if
/// they differ in the fixed fields.
std::optional<member_record> ApplyStatus(const member_status& status, const member_record& known);

/// Returns an estimate of the bytes that a record takes within a message, including its offsets.
std::size_t EncodedBytes(const member_record& record);
/// Bytes that a status takes within a message.
inline constexpr std::size_t kStatusBytes = sizeof(member_status);

}  // namespace siskinrack::membership

#endif  // SISKINRACK_MEMBERSHIP_MEMBER_RECORD_H_
