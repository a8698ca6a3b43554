#include "siskinrack/distribution/witness_table.h"

namespace siskinrack::distribution {

void witness_table::Clear() {}
void witness_table::Record(std::string_view /*node_id*/, std::uint64_t /*version*/) {}
std::optional<std::uint64_t> witness_table::Find(std::string_view /*node_id*/) const {
  return std::nullopt;
}

}  // namespace siskinrack::distribution
