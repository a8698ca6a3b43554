#ifndef SISKINRACK_LIB_MEMBERSHIP_RECORD_BATCH_H_
#define SISKINRACK_LIB_MEMBERSHIP_RECORD_BATCH_H_

#include <memory>

#include "siskinrack/membership/gossip.h"

namespace siskinrack::membership::detail {

/// Returns the bytes of the records and statuses in an exchange or its reply.
template <typename Exchange>
std::size_t RecordBytes(const Exchange& exchange) {
  std::size_t bytes = exchange.statuses.size() * kStatusBytes;
  for (const auto& record : exchange.records) bytes += EncodedBytes(*record);
  return bytes;
}

/// Adds a record, as a status unless `full_record` is set or the record doesn't fit into one.
/// Returns the added bytes, or 0 without adding the record if RecordBytes would exceed `limit`.
template <typename Exchange>
std::size_t AddRecord(Exchange& exchange, const member_record& record, bool full_record,
                      std::size_t limit = kMaxRecordBytes) {
  const auto status = full_record ? std::nullopt : ToStatus(record);
  const std::size_t bytes = status ? kStatusBytes : EncodedBytes(record);
  if (RecordBytes(exchange) + bytes > limit) return 0;
  if (status) {
    exchange.statuses.push_back(*status);
  } else {
    exchange.records.push_back(std::make_unique<wire::member_record_t>(record));
  }
  return bytes;
}

}  // namespace siskinrack::membership::detail

#endif  // SISKINRACK_LIB_MEMBERSHIP_RECORD_BATCH_H_
