#ifndef SISKINRACK_QUARANTINE_FINGERPRINT_H_
#define SISKINRACK_QUARANTINE_FINGERPRINT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace siskinrack::quarantine {

/// First 64 bits of a SHA-256 over service, method, target and body.
std::uint64_t ComputeFingerprint(std::string_view service, std::string_view method,
                                 std::string_view target, std::span<const std::uint8_t> body);

/// 16 hexadecimal digits.
std::string FormatFingerprint(std::uint64_t fingerprint);
std::optional<std::uint64_t> ParseFingerprint(std::string_view text);

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_FINGERPRINT_H_
