#ifndef SISKINRACK_LIB_NET_RESPONSE_ORDER_H_
#define SISKINRACK_LIB_NET_RESPONSE_ORDER_H_

#include <cstddef>
#include <cstdint>

namespace siskinrack::net::detail {

/// Tracks the requests of one connection that have been read and not been answered. Responses are
/// written in the order in which the requests were read. After a response that closes the
/// connection, no later request is answered; its client counts it as not read. Not thread-safe.
class response_order {
 public:
  /// Identifies a request by its position on the connection.
  using position = std::uint64_t;

  /// Adds a request that has been read and returns its position.
  position Add() { return added_++; }
  /// Returns true if the requests before `request` have been answered.
  [[nodiscard]] bool IsNext(position request) const { return answered_ == request; }
  /// Returns true if no request was read after `request`.
  [[nodiscard]] bool IsLast(position request) const { return request + 1 == added_; }
  /// Records the response to the next request to answer. `keep_open` is false if the response
  /// closes the connection or could not be written.
  void Answer(bool keep_open) {
    ++answered_;
    if (!keep_open) closed_ = true;
  }
  /// Records that no further request will be answered.
  void Close() { closed_ = true; }

  /// Returns true after a response that closes the connection.
  [[nodiscard]] bool closed() const { return closed_; }
  /// Returns the number of requests without a response.
  [[nodiscard]] std::size_t open() const { return added_ - answered_; }

 private:
  position added_ = 0;
  position answered_ = 0;
  bool closed_ = false;
};

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_RESPONSE_ORDER_H_
