#include "siskinrack/membership/member_record.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <string>
#include <tuple>

#include "siskinrack/support/socket_address.h"

namespace siskinrack::membership {
namespace {

constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kHalfWordBits = 32;
/// Table, vtable and vector offset of a record in FlatBuffers.
constexpr std::size_t kRecordOverheadBytes = 96;

std::uint64_t Mix(std::uint64_t value) {
  // Finalizer of splitmix64.
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

/// Returns the mixed FNV-1a hash of a text. std::hash is unsuitable: it may differ between builds,
/// and hashes are sent between processes.
std::uint64_t ComputeHash(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ULL) {
  for (const char c : text) seed = (seed ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return Mix(seed);
}

std::uint32_t FoldTo32Bits(std::uint64_t value) {
  return static_cast<std::uint32_t>(value ^ (value >> kHalfWordBits));
}

/// Returns the number of an IPv4 address that ParseSocketAddress accepted. Separators are not
/// checked again.
std::optional<std::uint32_t> ParseIp(const std::string& ip) {
  std::uint32_t number = 0;
  const char* position = ip.data();
  const char* const end = ip.data() + ip.size();
  for (int part = 0; part < 4; ++part) {
    std::uint8_t value = 0;
    const auto [next, error] = std::from_chars(position, end, value);
    if (error != std::errc()) return std::nullopt;
    number = (number << kBitsPerByte) | value;
    position = next == end ? next : next + 1;
  }
  return number;
}

std::string FormatIp(std::uint32_t number) {
  std::string text;
  for (int part = 3; part >= 0; --part) {
    text += std::to_string((number >> (kBitsPerByte * static_cast<unsigned>(part))) & 0xffU);
    if (part > 0) text += '.';
  }
  return text;
}

std::string ExtractIp(const std::string& address) { return address.substr(0, address.rfind(':')); }

/// Returns a hash of the fixed fields. The IP address of the admin address is one of them, since it
/// rarely changes when a node restarts.
std::uint16_t HashFixedFields(const member_record& record) {
  std::uint64_t hash = ComputeHash(record.node_id);
  hash = ComputeHash(record.failure_domain, hash);
  hash = ComputeHash(record.region, hash);
  hash = ComputeHash(record.service, hash);
  hash = ComputeHash(ExtractIp(record.admin_address), hash);
  return static_cast<std::uint16_t>(Mix(hash ^ record.slots));
}

auto MakePrecedenceKey(const member_record& record) {
  const bool dead = record.health == wire::member_health::dead;
  return std::make_tuple(record.incarnation, dead, dead ? 0 : record.sequence, record.health);
}

}  // namespace

bool Supersedes(const member_record& a, const member_record& b) {
  return MakePrecedenceKey(a) > MakePrecedenceKey(b);
}

bool IsGone(const member_record& record) {
  return record.health == wire::member_health::dead || record.state == wire::upstream_state::left;
}

bool IsEndpoint(const member_record& record) {
  return record.health == wire::member_health::alive &&
         (record.state == wire::upstream_state::serving ||
          record.state == wire::upstream_state::starting);
}

std::uint32_t IdHash(std::string_view node_id) { return FoldTo32Bits(ComputeHash(node_id)); }

std::uint32_t StateDigest(const member_record& record) {
  const auto [incarnation, dead, sequence, health] = MakePrecedenceKey(record);
  const std::uint64_t incarnation_hash = Mix(ComputeHash(record.node_id) ^ Mix(incarnation));
  const std::uint64_t digest = Mix(incarnation_hash ^ Mix(sequence + 1) ^
                                   (static_cast<std::uint64_t>(health) + (dead ? 4 : 0)));
  return std::max<std::uint32_t>(FoldTo32Bits(digest), 1);
}

std::optional<member_status> ToStatus(const member_record& record) {
  const auto peer = support::ParseSocketAddress(record.peer_address);
  const auto admin = support::ParseSocketAddress(record.admin_address);
  if (!peer || !admin) return std::nullopt;
  const auto ip = ParseIp(peer->ip);
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  if (!ip || record.sequence > kMax || record.served_version > kMax) return std::nullopt;
  return member_status(record.incarnation, IdHash(record.node_id),
                       static_cast<std::uint32_t>(record.sequence),
                       static_cast<std::uint32_t>(record.served_version), *ip, peer->port,
                       admin->port, HashFixedFields(record), record.state, record.health);
}

std::optional<member_record> ApplyStatus(const member_status& status, const member_record& known) {
  if (status.fixed_fields() != HashFixedFields(known)) return std::nullopt;
  member_record record = known;
  record.incarnation = status.incarnation();
  record.sequence = status.sequence();
  record.served_version = status.served_version();
  record.peer_address = FormatIp(status.peer_ip()) + ':' + std::to_string(status.peer_port());
  record.admin_address = ExtractIp(known.admin_address) + ':' + std::to_string(status.admin_port());
  record.state = status.state();
  record.health = status.health();
  return record;
}

std::size_t EncodedBytes(const member_record& record) {
  constexpr std::size_t kStringOverheadBytes = 7;  // length, terminator and half of the padding
  std::size_t bytes = kRecordOverheadBytes;
  for (const auto* text : {&record.node_id, &record.failure_domain, &record.region,
                           &record.peer_address, &record.admin_address, &record.service}) {
    bytes += text->size() + kStringOverheadBytes;
  }
  return bytes;
}

}  // namespace siskinrack::membership
