#include "siskinrack/tenancy/key_table.h"

#include <openssl/evp.h>

#include <cassert>
#include <cstring>

namespace siskinrack::tenancy {

key_digest ComputeKeyDigest(std::string_view key) {
  key_digest digest{};
  unsigned int size = 0;
  const int ok = EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr);
  assert(ok == 1 && size == digest.size() && "SHA-256 is always available in libcrypto");
  (void)ok;
  return digest;
}

key_table::key_table(std::span<const tenant> tenants) {
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    for (const key_digest& digest : tenants[i].keys) tenant_by_digest_.emplace(digest, i);
  }
}

std::optional<std::size_t> key_table::Find(std::string_view key) const {
  const auto found = tenant_by_digest_.find(ComputeKeyDigest(key));
  if (found == tenant_by_digest_.end()) return std::nullopt;
  return found->second;
}

std::size_t key_table::digest_hash::operator()(const key_digest& digest) const {
  // The bytes of a digest are uniformly distributed.
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

}  // namespace siskinrack::tenancy
