#ifndef SISKINRACK_ROUTING_ENDPOINT_RECORD_H_
#define SISKINRACK_ROUTING_ENDPOINT_RECORD_H_

#include <boost/json/fwd.hpp>
#include <optional>

#include "siskinrack/routing/instance.h"
#include "siskinrack/support/findings.h"

namespace siskinrack::routing {

/// Form in which an endpoint is kept in the platform's store.
boost::json::value ToRecord(const endpoint& item);

/// Reads a record; adds what is wrong with it to `problems`.
std::optional<endpoint> FromRecord(const boost::json::value& record, support::findings& problems);

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_ENDPOINT_RECORD_H_
