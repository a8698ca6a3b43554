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
#include "siskinrack/support/scope_exit.h"

namespace siskinrack::net {
namespace {

namespace asio = boost::asio;
using detail::peer_link;
using tcp = asio::ip::tcp;

/// Bound of the delay before it is doubled for each failure.
constexpr std::chrono::milliseconds kBackoffBase{100};
constexpr unsigned kMaxBackoffDoublings = 7;
/// Minimum interval between searches for unused address states.
constexpr std::chrono::seconds kPruneInterval{5};

/// Returns a random delay for exponential backoff with full jitter: uniform between 0 and a bound
/// that doubles with each failure up to `max_delay`.
std::chrono::milliseconds ComputeBackoff(unsigned failures, std::chrono::milliseconds max_delay) {
  thread_local std::mt19937_64 random{std::random_device{}()};
  const auto bound =
      std::min(max_delay, kBackoffBase * (1U << std::min(failures, kMaxBackoffDoublings)));
  return std::chrono::milliseconds(
      std::uniform_int_distribution<std::int64_t>(0, bound.count())(random));
}

}  // namespace

class peer_pool::impl {
 public:
  impl(fiber_runtime& runtime, peer_context& context, peer_pool_options options)
      : runtime_(runtime), context_(context), options_(options), threads_(runtime.thread_count()) {}

  peer_result Request(const support::socket_address& address, wire::envelope_t message,
                      steady_time deadline, cancellation* cancel, cancellation* recall,
                      silence_policy silence) {
    const auto link = Acquire(address, deadline);
    if (link == nullptr) {
      const auto& addresses = threads_[fiber_runtime::GetCurrentThreadIndex()].addresses;
      const auto state = addresses.find(address);
      return {exchange_stage::kNotSent, nullptr, "peer is unreachable", false,
              state != addresses.end() && state->second.refused};
    }
    return link->Request(std::move(message), deadline, cancel, recall, silence);
  }

  void Send(const support::socket_address& address, wire::envelope_t message) {
    auto shared_message = std::make_shared<wire::envelope_t>(std::move(message));
    Spawn([this, address, shared_message] {
      const auto link = Acquire(address, std::chrono::steady_clock::now() + options_.dial_timeout);
      if (link != nullptr) link->Send(std::move(*shared_message));
    });
  }

  void OnLinkBroken(std::function<void(const support::socket_address&)> callback) {
    on_link_broken_ = std::move(callback);
  }

  void Stop() {
    for (std::size_t i = 0; i < threads_.size(); ++i) {
      runtime_.Run(i, [this, i] {
        threads_[i].stopping = true;
        for (auto& [address, state] : threads_[i].addresses) {
          if (state.link != nullptr) state.link->Close();
          state.link.reset();
        }
      });
    }
  }

 private:
  /// Link to one address and state of its reconnection attempts.
  struct address_state {
    std::shared_ptr<peer_link> link;
    bool dialling = false;
    /// The last dial was refused.
    bool refused = false;
    unsigned failures = 0;
    steady_time retry_at{};
    steady_time last_request{};
    boost::fibers::condition_variable_any dialled;
  };
  /// Links of one thread; used on that thread only.
  struct thread_state {
    std::map<support::socket_address, address_state> addresses;
    bool stopping = false;
    steady_time next_prune{};
  };

  /// Returns the link to `address`, dialling it if necessary. Returns null if dialling fails, a
  /// backoff is in progress or the pool is stopping.
  std::shared_ptr<peer_link> Acquire(const support::socket_address& address, steady_time deadline) {
    thread_state& local = threads_[fiber_runtime::GetCurrentThreadIndex()];
    PruneUnused(local);
    address_state& state = local.addresses[address];
    state.last_request = std::chrono::steady_clock::now();
    boost::fibers::mutex mutex;
    while (state.dialling) {
      std::unique_lock lock(mutex);
      if (state.dialled.wait_until(lock, deadline) == boost::fibers::cv_status::timeout) {
        return nullptr;
      }
    }
    if (state.link != nullptr && state.link->usable()) return state.link;
    const auto now = std::chrono::steady_clock::now();
    if (local.stopping || now < state.retry_at) return nullptr;
    {
      state.dialling = true;
      const support::scope_exit end([&state] {
        state.dialling = false;
        state.dialled.notify_all();
      });
      state.link = Dial(address, std::min(deadline, now + options_.dial_timeout), state.refused);
    }
    state.failures = state.link == nullptr ? state.failures + 1 : 0;
    if (state.link == nullptr)
      state.retry_at = now + ComputeBackoff(state.failures, options_.backoff_max);
    if (local.stopping && state.link != nullptr) state.link->Close();
    return state.link;
  }

  /// Establishes a link and starts its read loop. Returns null on failure; `refused` then tells
  /// whether the peer refused the connection.
  std::shared_ptr<peer_link> Dial(const support::socket_address& address, steady_time deadline,
                                  bool& refused) {
    auto socket = std::make_shared<tcp::socket>(detail::GetCurrentContext());
    boost::system::error_code error;
    const tcp::endpoint target(asio::ip::make_address(address.ip, error), address.port);
    if (!error) socket->open(tcp::v4(), error);
    if (!error && !context_.source_ip.empty()) {
      socket->bind({asio::ip::make_address(context_.source_ip, error), 0}, error);
    }
    if (error) return nullptr;
    asio::steady_timer timer(detail::GetCurrentContext(), deadline);
    timer.async_wait([socket](boost::system::error_code timer_error) {
      if (!timer_error) detail::CloseQuietly(*socket);
    });
    error =
        detail::AwaitDone([&](auto handler) { socket->async_connect(target, std::move(handler)); });
    timer.cancel();
    refused = error == asio::error::connection_refused;
    if (error || !socket->is_open()) return nullptr;
    socket->set_option(tcp::no_delay(true), error);
    detail::EnableKeepAlive(*socket);
    auto link = std::make_shared<peer_link>(std::move(*socket), context_,
                                            [](const auto&, const auto&, const auto&, auto) {});
    link->CloseWhenIdle(options_.idle_timeout);
    Spawn([this, link, address] {
      link->ReadLoop();
      if (!link->closed_as_idle() && !threads_[fiber_runtime::GetCurrentThreadIndex()].stopping &&
          on_link_broken_) {
        on_link_broken_(address);
      }
    });
    return link;
  }

  /// Removes the state of addresses without a link that were not used for the idle timeout.
  void PruneUnused(thread_state& local) const {
    const auto now = std::chrono::steady_clock::now();
    if (now < local.next_prune) return;
    local.next_prune = now + kPruneInterval;
    std::erase_if(local.addresses, [&](const auto& pair) {
      const address_state& state = pair.second;
      const bool open = state.link != nullptr && !state.link->closed();
      // The entry isn't removed while a fiber in Acquire refers to it: the fiber set `last_request`
      // and waits no longer than its deadline, which ends before the idle timeout.
      return !open && !state.dialling && now >= state.last_request + options_.idle_timeout;
    });
  }

  fiber_runtime& runtime_;
  peer_context& context_;
  peer_pool_options options_;
  std::vector<thread_state> threads_;
  std::function<void(const support::socket_address&)> on_link_broken_;
};

peer_pool::peer_pool(fiber_runtime& runtime, peer_context& context, peer_pool_options options)
    : impl_(std::make_unique<impl>(runtime, context, options)) {}

peer_pool::~peer_pool() = default;

peer_result peer_pool::Request(const support::socket_address& address, wire::envelope_t message,
                               steady_time deadline, cancellation* cancel, cancellation* recall,
                               silence_policy silence) {
  return impl_->Request(address, std::move(message), deadline, cancel, recall, silence);
}

void peer_pool::OnLinkBroken(std::function<void(const support::socket_address&)> callback) {
  impl_->OnLinkBroken(std::move(callback));
}

void peer_pool::Send(const support::socket_address& address, wire::envelope_t message) {
  impl_->Send(address, std::move(message));
}

void peer_pool::Stop() { impl_->Stop(); }

}  // namespace siskinrack::net
