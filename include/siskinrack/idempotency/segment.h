#ifndef SISKINRACK_IDEMPOTENCY_SEGMENT_H_
#define SISKINRACK_IDEMPOTENCY_SEGMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/idempotency/claim.h"

namespace siskinrack::idempotency {

/// Total size of the records from which the open segment is archived. A larger size would make
/// every write larger, because each sends the whole segment; a smaller one would make takeovers
/// slower, because they read all segments.
inline constexpr std::size_t kMaxSegmentBytes = 32U << 10U;

/// Represents a reference to an archived segment, which is stored as an object of its own and never
/// modified. `number` and `epoch` are part of the object's name.
struct archived_segment {
  std::uint64_t number = 0;
  std::uint64_t epoch = 0;
  /// Version of the platform object.
  std::uint64_t version = 0;
  /// Log time of its newest record, in milliseconds.
  std::uint64_t newest_ms = 0;

  bool operator==(const archived_segment&) const = default;
};

/// Represents the header of a segment object. `writer`, which identifies a takeover, and
/// `write_number` make each value of the open segment unique, so that a writer whose response was
/// lost can determine by a read whether its write took effect.
struct segment_header {
  /// Number of takeovers of the shard.
  std::uint64_t epoch = 0;
  std::uint64_t writer = 0;
  std::uint64_t write_number = 0;
  /// Number of the segment; increases with each archived segment.
  std::uint64_t number = 0;
  /// Log time of the write, in milliseconds. Log time is measured with the owner's steady clock and
  /// advances only while the shard has an owner, so that clock skew can't shorten the retention.
  std::uint64_t log_ms = 0;
  /// Oldest first.
  std::vector<archived_segment> archived;

  bool operator==(const segment_header&) const = default;
};

/// Kind of change that a log record makes: adds a claim, records its result, or releases it.
enum class record_kind : std::uint8_t { kClaim = 1, kFinish = 2, kRelease = 3 };

/// Represents one change of a claim. Times are log times in milliseconds.
struct log_record {
  record_kind kind = record_kind::kClaim;
  std::string key;
  std::uint64_t attempt = 0;
  std::uint64_t log_ms = 0;
  /// Set for claims only, like `epoch` and `expires_ms`.
  std::uint64_t fingerprint = 0;
  std::uint64_t epoch = 0;
  /// Time from which a claim without a result counts as lost.
  std::uint64_t expires_ms = 0;
  /// Set for finished claims only; empty if the answer isn't known or is too large to be stored.
  std::optional<stored_answer> answer;

  bool operator==(const log_record&) const = default;
};

/// Represents a decoded segment, with its records in the order in which they were written.
struct segment {
  segment_header header;
  std::vector<log_record> records;
};

/// Returns the encoding of a header or record. A segment's value is its encoded header followed by
/// its encoded records.
std::string Encode(const segment_header& header);
std::string Encode(const log_record& record);
/// Decodes a segment's value. Returns std::nullopt unless `bytes` are exactly one segment in the
/// format version of this release.
std::optional<segment> DecodeSegment(std::string_view bytes);

/// Returns the name of the object of a shard's open segment.
std::string OpenSegmentName(std::size_t shard);
/// Returns the name of the object of an archived segment.
std::string ArchivedSegmentName(std::size_t shard, std::uint64_t number, std::uint64_t epoch);

}  // namespace siskinrack::idempotency

#endif  // SISKINRACK_IDEMPOTENCY_SEGMENT_H_
