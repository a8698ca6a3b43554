#include "siskinrack/quarantine/quarantine_table.h"

namespace siskinrack::quarantine {

crash_verdict quarantine_table::AddCrash(const crash&, steady_time) { return {}; }
bool quarantine_table::Complete(std::uint64_t, steady_time) { return false; }
bool quarantine_table::Release(std::uint64_t, steady_time) { return false; }
bool quarantine_table::IsHeld(std::uint64_t, steady_time) const { return false; }
std::vector<held_fingerprint> quarantine_table::Held(steady_time) const { return {}; }
void quarantine_table::Expire(steady_time) {}

}  // namespace siskinrack::quarantine
