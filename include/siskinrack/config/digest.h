#ifndef SISKINRACK_CONFIG_DIGEST_H_
#define SISKINRACK_CONFIG_DIGEST_H_

#include <string>
#include <string_view>

#include "siskinrack/config/model.h"

namespace siskinrack::config {

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Digest of the canonical text of a configuration.
std::string ComputeDigest(const mesh_config& config);

}  // namespace siskinrack::config

#endif  // SISKINRACK_CONFIG_DIGEST_H_
