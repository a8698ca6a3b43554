#include "listener.h"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <thread>

#include "await.h"

namespace siskinrack::net::detail {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Delay after a failed accept, which is mostly caused by a lack of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
/// Interval at which WaitForFibers checks the number of fibers.
constexpr std::chrono::milliseconds kFiberPollInterval{2};
constexpr int kListenBacklog = 1024;

/// Opens a socket and binds it without SO_REUSEPORT.
void BindExclusively(tcp::acceptor& acceptor, const tcp::endpoint& endpoint,
                     boost::system::error_code& error) {
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
}

/// Attaches a packet filter that drops the SYN packets of new connections. Closing the socket
/// instead would reset the connections in its accept queue, whose clients may have sent a request
/// already.
void DropNewConnections(int socket) {
  constexpr std::uint32_t kTcpFlagsOffset = 13;
  constexpr std::uint32_t kSynFlag = 0x02;
  constexpr std::uint32_t kWholePacket = 0xffff;
  sock_filter code[] = {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
                        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSynFlag, 0, 1),
                        BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, kWholePacket)};
  const sock_fprog program{static_cast<std::uint16_t>(std::size(code)), code};
  // If the filter can't be attached, a few connections may be reset on close; there is no better
  // fallback.
  setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

}  // namespace

/// Listening socket of one thread.
struct listener::accept_state {
  explicit accept_state(asio::io_context& io) : context(io), acceptor(io) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  bool closed = false;
};

listener::listener(fiber_runtime& runtime, connection_handler handler)
    : runtime_(runtime), handler_(std::move(handler)) {}

std::string listener::Start(const support::socket_address& address) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  if (error) return error.message();
  port_ = address.port;
  for (std::size_t i = 0; i < runtime_.thread_count() && !error; ++i) {
    runtime_.Run(i, [&] {
      auto state = std::make_shared<accept_state>(GetCurrentContext());
      // A probe socket without SO_REUSEPORT is bound first, so that a port in use by another
      // process is reported as an error instead of being shared with it.
      if (i == 0) {
        tcp::acceptor probe(GetCurrentContext());
        BindExclusively(probe, {ip, port_}, error);
        if (error) return;
        port_ = probe.local_endpoint().port();
      }
      state->acceptor.open(tcp::v4(), error);
      if (!error) state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
      if (!error) state->acceptor.set_option(reuse_port(true), error);
      if (!error) state->acceptor.bind({ip, port_}, error);
      if (!error) state->acceptor.listen(kListenBacklog, error);
      if (error) return;
      acceptors_.push_back(state);
      Spawn([this, state] { AcceptLoop(state); });
    });
  }
  return error ? error.message() : std::string();
}

void listener::AcceptLoop(const std::shared_ptr<accept_state>& state) {
  ++*fiber_count_;
  auto next_accept = std::chrono::steady_clock::now();
  while (!state->closed) {
    auto socket = std::make_shared<tcp::socket>(state->context);
    const auto error =
        AwaitDone([&](auto handler) { state->acceptor.async_accept(*socket, std::move(handler)); });
    if (state->closed) break;
    if (error) {
      SleepFor(kAcceptRetryDelay);
      continue;
    }
    boost::system::error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    SpawnCounted([this, socket] { handler_(std::move(*socket)); });
    if (accepts_per_second_ <= 0) continue;
    const auto now = std::chrono::steady_clock::now();
    const auto interval = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(1.0 / accepts_per_second_));
    // The lower bound limits the connections that are accepted at once after a pause.
    next_accept = std::max(next_accept + interval, now - std::chrono::seconds(1));
    if (next_accept > now) SleepFor(next_accept - now);
  }
  --*fiber_count_;
}

void listener::SpawnCounted(std::function<void()> body) const {
  ++*fiber_count_;
  Spawn([body = std::move(body), fiber_count = fiber_count_]() mutable {
    body();
    // Releases what the body owns before the fiber counts as ended.
    body = nullptr;
    --*fiber_count;
  });
}

void listener::StopAccepting() {
  for (const auto& state : acceptors_) {
    asio::post(state->context, [state] { DropNewConnections(state->acceptor.native_handle()); });
  }
}

void listener::Close() {
  for (const auto& state : acceptors_) {
    asio::post(state->context, [state] {
      state->closed = true;
      boost::system::error_code ignored;
      state->acceptor.close(ignored);
    });
  }
  acceptors_.clear();
}

void listener::WaitForFibers() const {
  while (*fiber_count_ != 0) std::this_thread::sleep_for(kFiberPollInterval);
}

void ResetQuietly(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void CloseQuietly(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_both, ignored);
  socket.close(ignored);
}

void EnableKeepAlive(tcp::socket& socket) {
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 2;
  constexpr unsigned kUserTimeoutMs = 2'500;
  const int fd = socket.native_handle();
  boost::system::error_code ignored;
  socket.set_option(tcp::socket::keep_alive(true), ignored);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds, sizeof kIdleSeconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds, sizeof kIntervalSeconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof kProbes);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
}

}  // namespace siskinrack::net::detail
