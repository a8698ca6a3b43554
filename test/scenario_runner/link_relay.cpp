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

/// Typical first retransmission timeout of TCP.
constexpr milliseconds kRetransmission{200};
constexpr std::size_t kChunkBytes = 16U << 10U;

unsigned DomainOf(const tcp::endpoint& endpoint) {
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
    auto item = std::make_shared<port_entry>(io_);
    item->domain = domain;
    item->acceptor.open(tcp::v4());
    item->acceptor.bind({asio::ip::address_v4::loopback(), 0});
    item->acceptor.listen();
    const std::uint16_t port = item->acceptor.local_endpoint().port();
    Run([&] {
      ports_[port] = item;
      Accept(item);
    });
    return port;
  }

  void SetTarget(std::uint16_t port, std::uint16_t node_port) {
    Run([&] { ports_.at(port)->target = node_port; });
  }

  void Cut(unsigned a, unsigned b) {
    Run([&] { cuts_.insert({std::min(a, b), std::max(a, b)}); });
  }

  void Heal() {
    Run([&] {
      const auto links = links_;
      for (const auto& item : links) {
        if (IsCut(item->from, item->to)) item->Close();
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

  struct link {
    link(asio::io_context& io, tcp::socket accepted)
        : sockets{std::move(accepted), tcp::socket(io)}, timers{timer(io), timer(io)} {}
    using timer = asio::steady_timer;

    void Close() {
      for (auto& socket : sockets) {
        boost::system::error_code ignored;
        socket.close(ignored);
      }
    }

    std::array<tcp::socket, 2> sockets;
    std::array<timer, 2> timers;
    std::array<std::array<char, kChunkBytes>, 2> buffers;
    unsigned from = 0;
    unsigned to = 0;
  };
  using link_ptr = std::shared_ptr<link>;

  template <typename Body>
  void Run(Body body) {
    std::packaged_task<void()> task(body);
    auto done = task.get_future();
    asio::post(io_, [&task] { task(); });
    done.get();
  }

  bool IsCut(unsigned a, unsigned b) const {
    if (a == b) return false;
    return cuts_.contains({std::min(a, b), std::max(a, b)}) || cuts_.contains({0, a}) ||
           cuts_.contains({0, b});
  }

  void Accept(const std::shared_ptr<port_entry>& item) {
    item->acceptor.async_accept([this, item](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      boost::system::error_code ignored;
      const auto peer = socket.remote_endpoint(ignored);
      auto accepted = std::make_shared<link>(io_, std::move(socket));
      accepted->from = DomainOf(peer);
      accepted->to = item->domain;
      links_.insert(accepted);
      Connect(accepted, item->target);
      Accept(item);
    });
  }

  void Connect(const link_ptr& item, std::uint16_t target) {
    item->sockets[1].async_connect({asio::ip::address_v4::loopback(), target},
                                   [this, item](boost::system::error_code error) {
                                     if (error) return End(item);
                                     for (auto& socket : item->sockets) {
                                       boost::system::error_code ignored;
                                       socket.set_option(tcp::no_delay(true), ignored);
                                     }
                                     Pump(item, 0);
                                     Pump(item, 1);
                                   });
  }

  /// Moves one chunk from side `from` to the other, late by the link's delay, then the next one.
  void Pump(const link_ptr& item, std::size_t from) {
    item->sockets[from].async_read_some(
        asio::buffer(item->buffers[from]),
        [this, item, from](boost::system::error_code error, std::size_t size) {
          if (error) return End(item);
          Deliver(item, from, size, Delay(*item));
        });
  }

  void Deliver(const link_ptr& item, std::size_t from, std::size_t size, milliseconds delay) {
    item->timers[from].expires_after(delay);
    item->timers[from].async_wait([this, item, from, size](boost::system::error_code error) {
      if (error || !item->sockets[from].is_open()) return End(item);
      // Bytes of a cut link stay here until the link is healed, which closes it.
      if (IsCut(item->from, item->to)) return Deliver(item, from, size, kRetransmission);
      asio::async_write(item->sockets[1 - from], asio::buffer(item->buffers[from], size),
                        [this, item, from](boost::system::error_code failed, std::size_t) {
                          if (failed) return End(item);
                          Pump(item, from);
                        });
    });
  }

  milliseconds Delay(const link& item) {
    if (item.from == item.to) return milliseconds(0);
    milliseconds delay = quality_.delay;
    if (quality_.jitter.count() > 0) {
      delay += milliseconds(random_() % static_cast<unsigned>(quality_.jitter.count() + 1));
    }
    if (std::uniform_real_distribution<double>(0, 1)(random_) < quality_.loss) {
      delay += kRetransmission;
    }
    return delay;
  }

  void End(const link_ptr& item) {
    item->Close();
    links_.erase(item);
  }

  link_quality quality_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io_);
  std::mt19937 random_{1};
  std::map<std::uint16_t, std::shared_ptr<port_entry>> ports_;
  std::set<std::pair<unsigned, unsigned>> cuts_;
  std::set<link_ptr> links_;
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
