#include "link_relay.h"

#include <array>
#include <boost/asio.hpp>
#include <future>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <vector>

namespace siskinrack::test {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

/// Delay of a lost chunk: a typical first retransmission timeout of an established TCP connection.
constexpr milliseconds kRetransmissionTimeout{200};
/// Maximum size of a chunk.
constexpr std::size_t kChunkBytes = 16U << 10U;

/// Returns the failure domain that is encoded in a source address 127.0.<domain>.1.
unsigned GetDomain(const tcp::endpoint& endpoint) {
  return endpoint.address().to_v4().to_bytes()[2];
}

}  // namespace

class link_relay::impl {
 public:
  explicit impl(link_quality quality) : quality_(quality), thread_([this] { io_.run(); }) {}

  ~impl() {
    io_.stop();
    thread_.join();
  }

  std::uint16_t Open(unsigned domain) {
    auto entry = std::make_shared<port_entry>(io_);
    entry->domain = domain;
    entry->acceptor.open(tcp::v4());
    entry->acceptor.bind({asio::ip::address_v4::loopback(), 0});
    entry->acceptor.listen();
    const std::uint16_t port = entry->acceptor.local_endpoint().port();
    RunOnIoThread([&] {
      ports_[port] = entry;
      Accept(entry);
    });
    return port;
  }

  void SetTarget(std::uint16_t port, std::uint16_t node_port) {
    RunOnIoThread([&] { ports_.at(port)->target = node_port; });
  }

  void Cut(unsigned a, unsigned b) {
    RunOnIoThread([&] { cuts_.insert({std::min(a, b), std::max(a, b)}); });
  }

  void Heal() {
    RunOnIoThread([&] {
      const auto connections = connections_;
      for (const auto& connection : connections) {
        if (IsCut(connection->from_domain, connection->to_domain)) connection->Close();
      }
      cuts_.clear();
    });
  }

 private:
  struct port_entry {
    explicit port_entry(asio::io_context& io) : acceptor(io) {}
    tcp::acceptor acceptor;
    unsigned domain = 0;
    std::uint16_t target = 0;
  };

  struct relayed_connection {
    relayed_connection(asio::io_context& io, tcp::socket accepted)
        : sockets{std::move(accepted), tcp::socket(io)}, timers{timer(io), timer(io)} {}
    using timer = asio::steady_timer;

    void Close() {
      for (auto& socket : sockets) {
        boost::system::error_code ignored;
        socket.close(ignored);
      }
    }

    /// The accepted socket of the connecting node and the socket that is connected to the target.
    std::array<tcp::socket, 2> sockets;
    std::array<timer, 2> timers;
    std::array<std::array<char, kChunkBytes>, 2> buffers;
    unsigned from_domain = 0;
    unsigned to_domain = 0;
  };
  using connection_ptr = std::shared_ptr<relayed_connection>;

  /// Runs `function` on the I/O thread, which owns all state, and waits until it has returned.
  template <typename Function>
  void RunOnIoThread(Function function) {
    std::packaged_task<void()> task(function);
    auto done = task.get_future();
    asio::post(io_, [&task] { task(); });
    done.get();
  }

  /// Returns true if the link between two domains is cut; nodes of one domain are never cut off
  /// from each other.
  bool IsCut(unsigned a, unsigned b) const {
    if (a == b) return false;
    return cuts_.contains({std::min(a, b), std::max(a, b)}) || cuts_.contains({0, a}) ||
           cuts_.contains({0, b});
  }

  void Accept(const std::shared_ptr<port_entry>& entry) {
    entry->acceptor.async_accept(
        [this, entry](boost::system::error_code error, tcp::socket socket) {
          if (error) return;
          boost::system::error_code ignored;
          const auto peer = socket.remote_endpoint(ignored);
          auto accepted = std::make_shared<relayed_connection>(io_, std::move(socket));
          accepted->from_domain = GetDomain(peer);
          accepted->to_domain = entry->domain;
          connections_.insert(accepted);
          Connect(accepted, entry->target);
          Accept(entry);
        });
  }

  void Connect(const connection_ptr& connection, std::uint16_t target) {
    connection->sockets[1].async_connect({asio::ip::address_v4::loopback(), target},
                                         [this, connection](boost::system::error_code error) {
                                           if (error) return CloseConnection(connection);
                                           for (auto& socket : connection->sockets) {
                                             boost::system::error_code ignored;
                                             socket.set_option(tcp::no_delay(true), ignored);
                                           }
                                           RelayNextChunk(connection, 0);
                                           RelayNextChunk(connection, 1);
                                         });
  }

  /// Reads a chunk from the socket with index `source`, forwards it to the other socket after the
  /// delay of the link, and repeats. One chunk is in flight for each direction, so that bytes stay
  /// in order.
  void RelayNextChunk(const connection_ptr& connection, std::size_t source) {
    connection->sockets[source].async_read_some(
        asio::buffer(connection->buffers[source]),
        [this, connection, source](boost::system::error_code error, std::size_t size) {
          if (error) return CloseConnection(connection);
          Deliver(connection, source, size, ComputeDelay(*connection));
        });
  }

  /// Writes the `size` bytes read from `source` to the other socket after `delay`.
  void Deliver(const connection_ptr& connection, std::size_t source, std::size_t size,
               milliseconds delay) {
    connection->timers[source].expires_after(delay);
    connection->timers[source].async_wait([this, connection, source,
                                           size](boost::system::error_code error) {
      if (error || !connection->sockets[source].is_open()) return CloseConnection(connection);
      // A cut link holds the chunk back. The cut is polled until Heal ends it and closes the
      // sockets.
      if (IsCut(connection->from_domain, connection->to_domain))
        return Deliver(connection, source, size, kRetransmissionTimeout);
      asio::async_write(connection->sockets[1 - source],
                        asio::buffer(connection->buffers[source], size),
                        [this, connection, source](boost::system::error_code failed, std::size_t) {
                          if (failed) return CloseConnection(connection);
                          RelayNextChunk(connection, source);
                        });
    });
  }

  /// Returns the delay of the next chunk: none within a domain.
  milliseconds ComputeDelay(const relayed_connection& connection) {
    if (connection.from_domain == connection.to_domain) return milliseconds(0);
    milliseconds delay = quality_.delay;
    if (quality_.jitter.count() > 0) {
      delay += milliseconds(random_() % static_cast<unsigned>(quality_.jitter.count() + 1));
    }
    if (std::uniform_real_distribution<double>(0, 1)(random_) < quality_.loss) {
      delay += kRetransmissionTimeout;
    }
    return delay;
  }

  void CloseConnection(const connection_ptr& connection) {
    connection->Close();
    connections_.erase(connection);
  }

  link_quality quality_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io_);
  std::mt19937 random_{1};
  std::map<std::uint16_t, std::shared_ptr<port_entry>> ports_;
  std::set<std::pair<unsigned, unsigned>> cuts_;
  std::set<connection_ptr> connections_;
  std::thread thread_;
};

link_relay::link_relay(link_quality quality) : impl_(std::make_unique<impl>(quality)) {}

link_relay::~link_relay() = default;

std::uint16_t link_relay::Open(unsigned domain) { return impl_->Open(domain); }
void link_relay::SetTarget(std::uint16_t port, std::uint16_t node_port) {
  impl_->SetTarget(port, node_port);
}
void link_relay::Cut(unsigned a, unsigned b) { impl_->Cut(a, b); }
void link_relay::Heal() { impl_->Heal(); }

}  // namespace siskinrack::test
