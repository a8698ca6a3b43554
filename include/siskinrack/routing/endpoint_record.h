#ifndef SISKINRACK_ROUTING_ENDPOINT_RECORD_H_
#define SISKINRACK_ROUTING_ENDPOINT_RECORD_H_

#include <boost/json/fwd.hpp>
#include <optional>

#include "siskinrack/routing/instance.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::routing {

/// Returns the JSON form in which an endpoint is stored on the platform.
boost::json::value ToRecord(const endpoint& entry);

/// Parses a stored endpoint. Returns std::nullopt for an invalid record, and adds its errors to
/// `problems`, which must be empty.
std::optional<endpoint> FromRecord(const boost::json::value& record, support::findings& problems);

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_ENDPOINT_RECORD_H_
