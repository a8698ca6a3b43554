#include "siskinrack/config/digest.h"

#include <openssl/evp.h>

#include <array>
#include <cassert>

#include "siskinrack/config/canonical_json.h"

namespace siskinrack::config {

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  const int ok = EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(), nullptr);
  assert(ok == 1 && "SHA-256 is always available in libcrypto");
  (void)ok;
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex += kHex[bytes.at(i) >> 4U];
    hex += kHex[bytes.at(i) & 0x0fU];
  }
  return hex;
}

std::string ComputeDigest(const mesh_config& config) { return Sha256Hex(ToJson(config)); }

}  // namespace siskinrack::config
