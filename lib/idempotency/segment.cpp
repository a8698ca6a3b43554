#include "siskinrack/idempotency/segment.h"

#include <algorithm>

namespace siskinrack::idempotency {
namespace {

/// Version of the encoding. Must change with it, so that a node doesn't misread the log of another
/// release.
constexpr std::uint64_t kFormatVersion = 1;
constexpr unsigned kByteBits = 8;
constexpr unsigned kByteMask = 0xff;

void AppendNumber(std::string& out, std::uint64_t value) {
  for (unsigned i = 0; i < sizeof(value); ++i) {
    out += static_cast<char>((value >> (kByteBits * i)) & kByteMask);
  }
}

void AppendText(std::string& out, std::string_view text) {
  AppendNumber(out, text.size());
  out += text;
}

/// Decodes numbers and texts from the front of a byte string. After a failure all reads return
/// empty values.
class reader {
 public:
  explicit reader(std::string_view bytes) : bytes_(bytes) {}

  std::uint64_t ReadNumber() {
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

  std::string ReadText() {
    const std::uint64_t size = ReadNumber();
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
  answer.status = static_cast<std::uint16_t>(in.ReadNumber());
  const std::uint64_t fields = in.ReadNumber();
  for (std::uint64_t i = 0; i < fields && !in.failed(); ++i) {
    std::string name = in.ReadText();
    answer.fields.emplace_back(std::move(name), in.ReadText());
  }
  answer.body = in.ReadText();
  return answer;
}

std::optional<log_record> ReadRecord(reader& in) {
  log_record record;
  const std::uint64_t kind = in.ReadNumber();
  if (kind < static_cast<std::uint64_t>(record_kind::kClaim) ||
      kind > static_cast<std::uint64_t>(record_kind::kRelease)) {
    return std::nullopt;
  }
  record.kind = static_cast<record_kind>(kind);
  record.key = in.ReadText();
  record.attempt = in.ReadNumber();
  record.log_ms = in.ReadNumber();
  if (record.kind == record_kind::kClaim) {
    record.fingerprint = in.ReadNumber();
    record.epoch = in.ReadNumber();
    record.expires_ms = in.ReadNumber();
  }
  if (record.kind == record_kind::kFinish && in.ReadNumber() != 0) record.answer = ReadAnswer(in);
  if (in.failed()) return std::nullopt;
  return record;
}

segment_header ReadHeader(reader& in) {
  segment_header header;
  header.epoch = in.ReadNumber();
  header.writer = in.ReadNumber();
  header.write_number = in.ReadNumber();
  header.number = in.ReadNumber();
  header.log_ms = in.ReadNumber();
  const std::uint64_t archived = in.ReadNumber();
  for (std::uint64_t i = 0; i < archived && !in.failed(); ++i) {
    archived_segment archive;
    archive.number = in.ReadNumber();
    archive.epoch = in.ReadNumber();
    archive.version = in.ReadNumber();
    archive.newest_ms = in.ReadNumber();
    header.archived.push_back(archive);
  }
  return header;
}

}  // namespace

std::string Encode(const segment_header& header) {
  std::string out;
  for (const std::uint64_t value :
       {kFormatVersion, header.epoch, header.writer, header.write_number, header.number,
        header.log_ms, static_cast<std::uint64_t>(header.archived.size())}) {
    AppendNumber(out, value);
  }
  for (const archived_segment& archive : header.archived) {
    for (const std::uint64_t value :
         {archive.number, archive.epoch, archive.version, archive.newest_ms}) {
      AppendNumber(out, value);
    }
  }
  return out;
}

std::string Encode(const log_record& record) {
  std::string out;
  AppendNumber(out, static_cast<std::uint64_t>(record.kind));
  AppendText(out, record.key);
  AppendNumber(out, record.attempt);
  AppendNumber(out, record.log_ms);
  if (record.kind == record_kind::kClaim) {
    AppendNumber(out, record.fingerprint);
    AppendNumber(out, record.epoch);
    AppendNumber(out, record.expires_ms);
  }
  if (record.kind != record_kind::kFinish) return out;
  AppendNumber(out, record.answer ? 1 : 0);
  if (!record.answer) return out;
  AppendNumber(out, record.answer->status);
  AppendNumber(out, record.answer->fields.size());
  for (const auto& [name, value] : record.answer->fields) {
    AppendText(out, name);
    AppendText(out, value);
  }
  AppendText(out, record.answer->body);
  return out;
}

std::optional<segment> DecodeSegment(std::string_view bytes) {
  reader in(bytes);
  if (in.ReadNumber() != kFormatVersion) return std::nullopt;
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
