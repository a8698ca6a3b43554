#ifndef SISKINRACK_CONFIG_DIGEST_H_
#define SISKINRACK_CONFIG_DIGEST_H_

#include <string>
#include <string_view>

#include "siskinrack/config/model.h"

namespace siskinrack::config {

/// Returns the SHA-256 digest of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Returns the SHA-256 digest of the canonical JSON text of a configuration.
std::string ComputeDigest(const mesh_config& config);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_DIGEST_H_
