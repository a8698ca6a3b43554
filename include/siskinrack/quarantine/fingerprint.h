#ifndef SISKINRACK_QUARANTINE_FINGERPRINT_H_
#define SISKINRACK_QUARANTINE_FINGERPRINT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace siskinrack::quarantine {

/// Returns the first 64 bits of the SHA-256 digest of scope, method and target, each preceded by
/// its length, and the body. The scope is the host or the service within which targets are unique.
std::uint64_t ComputeFingerprint(std::string_view scope, std::string_view method,
                                 std::string_view target, std::span<const std::uint8_t> body);

/// Formats a fingerprint as 16 hexadecimal digits.
std::string FormatFingerprint(std::uint64_t fingerprint);
/// Formats fingerprints, separated by commas.
std::string FormatFingerprints(std::span<const std::uint64_t> fingerprints);
/// Parses 16 hexadecimal digits; returns std::nullopt for other text.
std::optional<std::uint64_t> ParseFingerprint(std::string_view text);

}  // namespace siskinrack::quarantine

#endif  // SISKINRACK_QUARANTINE_FINGERPRINT_H_
