#ifndef SISKINRACK_LIB_NET_AWAIT_H_
#define SISKINRACK_LIB_NET_AWAIT_H_

#include <boost/asio/io_context.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

namespace siskinrack::net::detail {

/// Returns the event loop of the calling thread, which must be a runtime thread.
boost::asio::io_context& GetCurrentContext();

/// Result of an asynchronous operation.
template <typename Value>
struct io_result {
  boost::system::error_code error;
  Value value{};
};

/// Starts an asynchronous operation and suspends the calling fiber until it completes. `initiate`
/// receives a completion handler with the signature void(error_code, Value), which must be called
/// once, on the thread of the fiber.
template <typename Value, typename Initiate>
io_result<Value> Await(Initiate&& initiate) {
  io_result<Value> result;
  bool completed = false;
  boost::fibers::context* waiter = boost::fibers::context::active();
  bool suspended = false;
  std::forward<Initiate>(initiate)([&](boost::system::error_code error, Value value) {
    result = {error, std::move(value)};
    completed = true;
    if (suspended) boost::fibers::context::active()->schedule(waiter);
  });
  if (!completed) {
    suspended = true;
    waiter->suspend();
  }
  return result;
}

/// Like Await, for operations whose completion handler takes only an error_code.
template <typename Initiate>
boost::system::error_code AwaitDone(Initiate&& initiate) {
  struct empty {};
  return Await<empty>([&](auto handler) {
           std::forward<Initiate>(initiate)(
               [handler](boost::system::error_code error) mutable { handler(error, {}); });
         })
      .error;
}

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_AWAIT_H_
