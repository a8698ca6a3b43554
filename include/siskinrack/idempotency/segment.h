#ifndef SISKINRACK_IDEMPOTENCY_SEGMENT_H_
#define SISKINRACK_IDEMPOTENCY_SEGMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/idempotency/claim.h"

namespace siskinrack::idempotency {

/// The open segment is archived once its records reach this size. Each write sends the whole
/// segment, so it is small; a takeover reads all segments, so it is not tiny.
inline constexpr std::size_t kMaxSegmentBytes = 32U << 10U;

/// A closed segment of the chain, stored under its own name and never written again.
struct archived_segment {
  std::uint64_t number = 0;
  std::uint64_t epoch = 0;
  /// Version that the platform gave the object.
  std::uint64_t version = 0;
  /// Log time of its newest record.
  std::uint64_t newest_ms = 0;

  bool operator==(const archived_segment&) const = default;
};

/// Head of a segment object. Writer and write number identify a write, so that a writer whose
/// answer was lost recognises its own value.
struct segment_header {
  std::uint64_t epoch = 0;
  std::uint64_t writer = 0;
  std::uint64_t write_number = 0;
  std::uint64_t number = 0;
  /// Log time: runs only while the shard has an owner, so clock skew can't shorten the retention.
  std::uint64_t log_ms = 0;
  std::vector<archived_segment> archived;

  bool operator==(const segment_header&) const = default;
};

enum class record_kind : std::uint8_t { kClaim = 1, kFinish = 2, kRelease = 3 };

struct log_record {
  record_kind kind = record_kind::kClaim;
  std::string key;
  std::uint64_t attempt = 0;
  std::uint64_t log_ms = 0;
  /// Claims only.
  std::uint64_t fingerprint = 0;
  std::uint64_t epoch = 0;
  /// Log time after which a claim without a result counts as lost.
  std::uint64_t expires_ms = 0;
  /// Finished claims only; nothing if the answer isn't known or too large to be kept.
  std::optional<stored_answer> answer;

  bool operator==(const log_record&) const = default;
};

struct segment {
  segment_header header;
  std::vector<log_record> records;
};

/// Encoded records are appended to each other and put behind an encoded header.
std::string Encode(const segment_header& header);
std::string Encode(const log_record& record);
/// Nothing if the bytes are not a whole segment.
std::optional<segment> DecodeSegment(std::string_view bytes);

/// Name of the object that all writes of a shard go through.
std::string OpenSegmentName(std::size_t shard);
std::string ArchivedSegmentName(std::size_t shard, std::uint64_t number, std::uint64_t epoch);

}  // namespace siskinrack::idempotency

#endif  // SISKINRACK_IDEMPOTENCY_SEGMENT_H_
