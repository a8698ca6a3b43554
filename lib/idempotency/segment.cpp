#include "siskinrack/idempotency/segment.h"

#include <algorithm>

namespace siskinrack::idempotency {
namespace {

/// Changes with the encoding, so that a node doesn't misread a log of another release.
constexpr std::uint64_t kFormat = 1;
constexpr unsigned kByteBits = 8;
constexpr unsigned kByteMask = 0xff;

void PutNumber(std::string& out, std::uint64_t value) {
  for (unsigned i = 0; i < sizeof(value); ++i) {
    out += static_cast<char>((value >> (kByteBits * i)) & kByteMask);
  }
}

void PutText(std::string& out, std::string_view text) {
  PutNumber(out, text.size());
  out += text;
}

class reader {
 public:
  explicit reader(std::string_view bytes) : bytes_(bytes) {}

  std::uint64_t Number() {
    std::uint64_t value = 0;
    if (bytes_.size() < sizeof(value)) {
      failed_ = true;
      bytes_ = {};
      return 0;
    }
    for (unsigned i = 0; i < sizeof(value); ++i) {
      value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes_[i])) << (kByteBits * i);
    }
    bytes_.remove_prefix(sizeof(value));
    return value;
  }

  std::string Text() {
    const std::uint64_t size = Number();
    if (size > bytes_.size()) {
      failed_ = true;
      bytes_ = {};
      return {};
    }
    std::string text(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return text;
  }

  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] bool at_end() const { return bytes_.empty(); }

 private:
  std::string_view bytes_;
  bool failed_ = false;
};

stored_answer ReadAnswer(reader& in) {
  stored_answer answer;
  answer.status = static_cast<std::uint16_t>(in.Number());
  const std::uint64_t fields = in.Number();
  for (std::uint64_t i = 0; i < fields && !in.failed(); ++i) {
    std::string name = in.Text();
    answer.fields.emplace_back(std::move(name), in.Text());
  }
  answer.body = in.Text();
  return answer;
}

std::optional<log_record> ReadRecord(reader& in) {
  log_record record;
  const std::uint64_t kind = in.Number();
  if (kind < static_cast<std::uint64_t>(record_kind::kClaim) ||
      kind > static_cast<std::uint64_t>(record_kind::kRelease)) {
    return std::nullopt;
  }
  record.kind = static_cast<record_kind>(kind);
  record.key = in.Text();
  record.attempt = in.Number();
  record.log_ms = in.Number();
  if (record.kind == record_kind::kClaim) {
    record.fingerprint = in.Number();
    record.epoch = in.Number();
    record.expires_ms = in.Number();
  }
  if (record.kind == record_kind::kFinish && in.Number() != 0) record.answer = ReadAnswer(in);
  if (in.failed()) return std::nullopt;
  return record;
}

segment_header ReadHeader(reader& in) {
  segment_header header;
  header.epoch = in.Number();
  header.writer = in.Number();
  header.write_number = in.Number();
  header.number = in.Number();
  header.log_ms = in.Number();
  const std::uint64_t archived = in.Number();
  for (std::uint64_t i = 0; i < archived && !in.failed(); ++i) {
    archived_segment item;
    item.number = in.Number();
    item.epoch = in.Number();
    item.version = in.Number();
    item.newest_ms = in.Number();
    header.archived.push_back(item);
  }
  return header;
}

}  // namespace

std::string Encode(const segment_header& header) {
  std::string out;
  for (const std::uint64_t value :
       {kFormat, header.epoch, header.writer, header.write_number, header.number, header.log_ms,
        static_cast<std::uint64_t>(header.archived.size())}) {
    PutNumber(out, value);
  }
  for (const archived_segment& item : header.archived) {
    for (const std::uint64_t value : {item.number, item.epoch, item.version, item.newest_ms}) {
      PutNumber(out, value);
    }
  }
  return out;
}

std::string Encode(const log_record& record) {
  std::string out;
  PutNumber(out, static_cast<std::uint64_t>(record.kind));
  PutText(out, record.key);
  PutNumber(out, record.attempt);
  PutNumber(out, record.log_ms);
  if (record.kind == record_kind::kClaim) {
    PutNumber(out, record.fingerprint);
    PutNumber(out, record.epoch);
    PutNumber(out, record.expires_ms);
  }
  if (record.kind != record_kind::kFinish) return out;
  PutNumber(out, record.answer ? 1 : 0);
  if (!record.answer) return out;
  PutNumber(out, record.answer->status);
  PutNumber(out, record.answer->fields.size());
  for (const auto& [name, value] : record.answer->fields) {
    PutText(out, name);
    PutText(out, value);
  }
  PutText(out, record.answer->body);
  return out;
}

std::optional<segment> DecodeSegment(std::string_view bytes) {
  reader in(bytes);
  if (in.Number() != kFormat) return std::nullopt;
  segment result;
  result.header = ReadHeader(in);
  while (!in.failed() && !in.at_end()) {
    auto record = ReadRecord(in);
    if (!record) return std::nullopt;
    result.records.push_back(std::move(*record));
  }
  if (in.failed()) return std::nullopt;
  return result;
}

std::string OpenSegmentName(std::size_t shard) {
  return "claims/" + std::to_string(shard) + "/open";
}

std::string ArchivedSegmentName(std::size_t shard, std::uint64_t number, std::uint64_t epoch) {
  return "claims/" + std::to_string(shard) + '/' + std::to_string(number) + '-' +
         std::to_string(epoch);
}

}  // namespace siskinrack::idempotency
