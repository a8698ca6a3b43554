#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <map>
#include <random>

#include "await.h"
#include "listener.h"
#include "peer_link.h"
#include "siskinrack/net/peer.h"

namespace siskinrack::net {
namespace {

namespace asio = boost::asio;
using detail::peer_link;
using tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds kBackoffBase{100};
constexpr unsigned kMaxBackoffDoublings = 7;
constexpr std::chrono::seconds kForgetInterval{5};

/// Full-jitter exponential backoff: uniform between 0 and the exponential bound.
std::chrono::milliseconds Backoff(unsigned failures, std::chrono::milliseconds longest) {
  thread_local std::mt19937_64 random{std::random_device{}()};
  const auto bound =
      std::min(longest, kBackoffBase * (1U << std::min(failures, kMaxBackoffDoublings)));
  return std::chrono::milliseconds(
      std::uniform_int_distribution<std::int64_t>(0, bound.count())(random));
}

}  // namespace

class peer_pool::impl {
 public:
  impl(fiber_runtime& runtime, peer_context& context, peer_pool_options options)
      : runtime_(runtime), context_(context), options_(options), shards_(runtime.thread_count()) {}

  peer_result Request(const support::socket_address& address, wire::envelope_t message,
                      steady_time deadline, cancellation* cancel) {
    const auto link = Acquire(address, deadline);
    if (link == nullptr) return {exchange_stage::kNotSent, nullptr, "peer is unreachable", false};
    return link->Request(std::move(message), deadline, cancel);
  }

  void Send(const support::socket_address& address, wire::envelope_t message) {
    auto shared = std::make_shared<wire::envelope_t>(std::move(message));
    Spawn([this, address, shared] {
      const auto link = Acquire(address, std::chrono::steady_clock::now() + options_.dial_timeout);
      if (link != nullptr) link->Send(std::move(*shared));
    });
  }

  void OnLinkBroken(std::function<void(const support::socket_address&)> listener) {
    on_link_broken_ = std::move(listener);
  }

  void Stop() {
    for (std::size_t i = 0; i < shards_.size(); ++i) {
      runtime_.Run(i, [this, i] {
        shards_[i].stopping = true;
        for (auto& [address, item] : shards_[i].entries) {
          if (item.link != nullptr) item.link->Close();
          item.link.reset();
        }
      });
    }
  }

 private:
  struct entry {
    std::shared_ptr<peer_link> link;
    bool dialling = false;
    unsigned failures = 0;
    steady_time retry_at{};
    steady_time last_request{};
    boost::fibers::condition_variable_any dialled;
  };
  /// Links of one thread, used on that thread only.
  struct shard {
    std::map<support::socket_address, entry> entries;
    bool stopping = false;
    steady_time next_forget{};
  };

  std::shared_ptr<peer_link> Acquire(const support::socket_address& address, steady_time deadline) {
    shard& own = shards_[fiber_runtime::CurrentThread()];
    ForgetUnused(own);
    entry& item = own.entries[address];
    item.last_request = std::chrono::steady_clock::now();
    boost::fibers::mutex mutex;
    while (item.dialling) {
      std::unique_lock lock(mutex);
      if (item.dialled.wait_until(lock, deadline) == boost::fibers::cv_status::timeout) {
        return nullptr;
      }
    }
    if (item.link != nullptr && !item.link->closed()) return item.link;
    const auto now = std::chrono::steady_clock::now();
    if (own.stopping || now < item.retry_at) return nullptr;
    item.dialling = true;
    item.link = Dial(address, std::min(deadline, now + options_.dial_timeout));
    item.dialling = false;
    item.failures = item.link == nullptr ? item.failures + 1 : 0;
    if (item.link == nullptr) item.retry_at = now + Backoff(item.failures, options_.backoff_max);
    if (own.stopping && item.link != nullptr) item.link->Close();
    item.dialled.notify_all();
    return item.link;
  }

  std::shared_ptr<peer_link> Dial(const support::socket_address& address, steady_time deadline) {
    auto socket = std::make_shared<tcp::socket>(detail::CurrentContext());
    boost::system::error_code error;
    const tcp::endpoint target(asio::ip::make_address(address.ip, error), address.port);
    if (!error) socket->open(tcp::v4(), error);
    if (!error && !context_.source_ip.empty()) {
      socket->bind({asio::ip::make_address(context_.source_ip, error), 0}, error);
    }
    if (error) return nullptr;
    asio::steady_timer timer(detail::CurrentContext(), deadline);
    timer.async_wait([socket](boost::system::error_code waited) {
      if (!waited) detail::CloseQuietly(*socket);
    });
    error =
        detail::AwaitDone([&](auto handler) { socket->async_connect(target, std::move(handler)); });
    timer.cancel();
    if (error || !socket->is_open()) return nullptr;
    socket->set_option(tcp::no_delay(true), error);
    detail::EnableKeepAlive(*socket);
    auto link =
        std::make_shared<peer_link>(std::move(*socket), context_, [](const auto&, const auto&) {});
    link->CloseWhenIdle(options_.idle_timeout);
    Spawn([this, link, address] {
      link->ReadLoop();
      if (!link->closed_as_idle() && !shards_[fiber_runtime::CurrentThread()].stopping &&
          on_link_broken_) {
        on_link_broken_(address);
      }
    });
    return link;
  }

  /// Drops the state of addresses that were not used for the idle time.
  void ForgetUnused(shard& own) const {
    const auto now = std::chrono::steady_clock::now();
    if (now < own.next_forget) return;
    own.next_forget = now + kForgetInterval;
    std::erase_if(own.entries, [&](const auto& pair) {
      const entry& item = pair.second;
      const bool open = item.link != nullptr && !item.link->closed();
      // A fiber that waits for a dial used the entry within the longest deadline of a request.
      return !open && !item.dialling && now >= item.last_request + options_.idle_timeout;
    });
  }

  fiber_runtime& runtime_;
  peer_context& context_;
  peer_pool_options options_;
  std::vector<shard> shards_;
  std::function<void(const support::socket_address&)> on_link_broken_;
};

peer_pool::peer_pool(fiber_runtime& runtime, peer_context& context, peer_pool_options options)
    : impl_(std::make_unique<impl>(runtime, context, options)) {}

peer_pool::~peer_pool() = default;

peer_result peer_pool::Request(const support::socket_address& address, wire::envelope_t message,
                               steady_time deadline, cancellation* cancel) {
  return impl_->Request(address, std::move(message), deadline, cancel);
}

void peer_pool::OnLinkBroken(std::function<void(const support::socket_address&)> listener) {
  impl_->OnLinkBroken(std::move(listener));
}

void peer_pool::Send(const support::socket_address& address, wire::envelope_t message) {
  impl_->Send(address, std::move(message));
}

void peer_pool::Stop() { impl_->Stop(); }

}  // namespace siskinrack::net
