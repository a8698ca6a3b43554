#include "server_main.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace siskinrack::test {

support::settings ParseOrExit(std::span<const support::setting> declared,
                              std::span<const std::string> arguments) {
  support::findings problems;
  auto values =
      support::settings::Parse(declared, arguments, support::GetEnvironmentVariable, problems);
  if (!problems.empty()) {
    std::cerr << problems;
    std::exit(support::kExitFindings);
  }
  return values;
}

int ServeUntilSignal(const support::socket_address& address, const net::http_handler& handler) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  net::fiber_runtime runtime(2);
  net::http_server server(runtime, {.address = address}, handler);
  const std::string error = server.Start();
  if (!error.empty()) {
    std::cerr << "--address: " << error << '\n';
    return support::kExitFindings;
  }
  std::cout << "event=listening port=" << server.port() << std::endl;
  int received_signal = 0;
  sigwait(&signals, &received_signal);
  // Exits without cleanup, since fibers may still be suspended in requests and nothing needs
  // saving.
  std::_Exit(0);
}

}  // namespace siskinrack::test
