#ifndef SISKINRACK_TEST_SUPPORT_SERVER_MAIN_H_
#define SISKINRACK_TEST_SUPPORT_SERVER_MAIN_H_

#include <span>
#include <string>

#include "siskinrack/net/http_server.h"
#include "siskinrack/support/settings.h"

namespace siskinrack::test {

/// Parses the settings of a test program. If they are invalid, prints the findings and exits with
/// code 2.
support::settings ParseOrExit(std::span<const support::setting> declared,
                              std::span<const std::string> arguments);

/// Serves `handler` on `address` until SIGTERM or SIGINT. Prints "event=listening port=<port>" once
/// it accepts connections. Returns exit code 2 if it can't listen; a signal exits the process with
/// code 0.
int ServeUntilSignal(const support::socket_address& address, const net::http_handler& handler);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SUPPORT_SERVER_MAIN_H_
