#include "siskinrack/quarantine/fingerprint.h"

#include <openssl/evp.h>

#include <array>
#include <cassert>
#include <charconv>
#include <memory>

namespace siskinrack::quarantine {
namespace {

constexpr std::size_t kDigits = 16;
constexpr int kHexBase = 16;
constexpr unsigned kByteBits = 8;

struct context_deleter {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

}  // namespace

std::uint64_t ComputeFingerprint(std::string_view scope, std::string_view method,
                                 std::string_view target, std::span<const std::uint8_t> body) {
  const std::unique_ptr<EVP_MD_CTX, context_deleter> context(EVP_MD_CTX_new());
  int ok = EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : {scope, method, target}) {
    // The length prefix makes the boundaries between the parts unambiguous.
    const std::uint64_t size = part.size();
    ok &= EVP_DigestUpdate(context.get(), &size, sizeof(size));
    ok &= EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  ok &= EVP_DigestUpdate(context.get(), body.data(), body.size());
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  ok &= EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
  assert(ok == 1 && "SHA-256 is always available in libcrypto");
  (void)ok;
  std::uint64_t result = 0;
  for (std::size_t i = 0; i < sizeof(result); ++i) result = (result << kByteBits) | digest.at(i);
  return result;
}

std::string FormatFingerprint(std::uint64_t fingerprint) {
  std::array<char, kDigits> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint, kHexBase).ptr;
  const std::string text(digits.data(), end);
  return std::string(kDigits - text.size(), '0') + text;
}

std::string FormatFingerprints(std::span<const std::uint64_t> fingerprints) {
  std::string text;
  for (const std::uint64_t fingerprint : fingerprints) {
    if (!text.empty()) text += ',';
    text += FormatFingerprint(fingerprint);
  }
  return text;
}

std::optional<std::uint64_t> ParseFingerprint(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, kHexBase);
  if (text.size() != kDigits || parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return value;
}

}  // namespace siskinrack::quarantine
