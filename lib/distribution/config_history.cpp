#include "siskinrack/distribution/config_history.h"

namespace siskinrack::distribution {

bool config_history::Add(config_snapshot_ptr /*snapshot*/) { return false; }
config_snapshot_ptr config_history::Find(std::uint64_t /*version*/,
                                         std::string_view /*digest*/) const {
  return nullptr;
}
wire::config_update_t config_history::Answer(const wire::config_request_t& /*request*/) const {
  return {};
}

}  // namespace siskinrack::distribution
