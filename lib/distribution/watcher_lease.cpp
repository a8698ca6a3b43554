#include "siskinrack/distribution/watcher_lease.h"

namespace siskinrack::distribution {

std::string ToJson(const lease_record& /*record*/) { return {}; }
std::optional<lease_record> LeaseFromJson(std::string_view /*text*/) { return std::nullopt; }
watcher_lease::call watcher_lease::Next(time_point /*now*/, std::size_t /*rank*/,
                                        double /*random*/) {
  return {};
}
void watcher_lease::OnRead(time_point /*now*/, std::uint64_t /*version*/,
                           const std::optional<lease_record>& /*record*/) {}
void watcher_lease::OnWritten(time_point /*now*/, std::uint64_t /*version*/) {}
void watcher_lease::OnConflict(time_point /*now*/) {}
void watcher_lease::OnOutcomeUnknown(time_point /*now*/) {}
void watcher_lease::OnFailure(time_point /*now*/, std::size_t /*rank*/) {}
void watcher_lease::OnPeerReport(time_point /*now*/, const holder_news& /*news*/) {}
watcher_lease::holder_news watcher_lease::News(time_point /*now*/) const { return {}; }

}  // namespace siskinrack::distribution
