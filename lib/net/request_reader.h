#ifndef SISKINRACK_LIB_NET_REQUEST_READER_H_
#define SISKINRACK_LIB_NET_REQUEST_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "siskinrack/net/http.h"
#include "siskinrack/net/memory_budget.h"

namespace siskinrack::net::detail {

/// What a request_reader waits for.
enum class read_state {
  kHeader,
  kBody,
  /// The body needs more memory than the budget has.
  kMemory,
  kDone,
  /// The request can't be read; see `status` and `error`.
  kFailed,
};

/// Reads one request from received bytes. Bounds its header section, its body and the framing of
/// the body, and charges the body before it stores it. Does no I/O.
class request_reader {
 public:
  /// `memory` may be null and must outlive the charge of the request.
  request_reader(const http_limits& limits, memory_budget* memory);

  /// Reads from `buffer` what belongs to the request. Bytes that are left form the begin of a chunk
  /// header or of a trailer section, or belong to the next request. The state kMemory is tried
  /// again by the next call.
  read_state Read(boost::beast::flat_buffer& buffer);
  /// Fails a request in state kMemory as one that is not run.
  void RefuseForMemory();
  /// Fails a request that was not received in time.
  void RefuseAsLate();

  [[nodiscard]] read_state state() const { return state_; }
  /// Status and text of the response to a request that can't be read.
  [[nodiscard]] unsigned status() const { return status_; }
  [[nodiscard]] std::string_view error() const { return error_; }
  /// Returns true if the client waits for an interim response before it sends the body.
  [[nodiscard]] bool expects_continue() const { return expects_continue_; }
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  /// HTTP version in Beast's form, 11 for HTTP/1.1.
  [[nodiscard]] unsigned version() const { return version_; }
  [[nodiscard]] std::size_t body_bytes() const { return body_bytes_; }
  /// Returns true if the body, as far as it has been received or announced, may use the reserve of
  /// the budget.
  [[nodiscard]] bool is_small() const;
  /// Largest number of bytes that wait in the buffer.
  [[nodiscard]] std::size_t max_buffered_bytes() const {
    return limits_.header_bytes + kBodyChunkBytes;
  }

  /// Returns the request; `state` must be kDone. The fields of a trailer section are dropped: the
  /// sender could set fields that the receiver takes from the header section only.
  http_request Release();
  /// Returns the charge for the body.
  memory_charge ReleaseCharge() { return std::move(charge_); }

  /// Returns the number of bytes that the next read from the connection should ask for.
  [[nodiscard]] std::size_t ComputeReadBytes() const;

  /// Covers the header section of most requests; an idle connection holds a buffer of this size.
  static constexpr std::size_t kReadChunkBytes = 4U << 10U;
  /// Takes a large body with few reads.
  static constexpr std::size_t kBodyChunkBytes = 16U << 10U;

 private:
  void ReadHeader(boost::beast::flat_buffer& buffer);
  void ReadBody(boost::beast::flat_buffer& buffer);
  void Fail(unsigned status, std::string_view error);
  /// Fails the request for an error of the parser.
  void Fail(const boost::system::error_code& error);
  [[nodiscard]] std::size_t CountBodyBytes() { return parser_.get().body().size(); }

  http_limits limits_;
  memory_budget* memory_;
  memory_charge charge_;
  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
  http_request request_;
  read_state state_ = read_state::kHeader;
  unsigned status_ = 0;
  std::string error_;
  bool expects_continue_ = false;
  bool keep_alive_ = false;
  unsigned version_ = 11;
  /// Announced length of the body; 0 if none is announced.
  std::size_t announced_bytes_ = 0;
  /// Bytes of the body, and of its framing, that have been read.
  std::size_t body_bytes_ = 0;
  std::size_t framing_bytes_ = 0;
};

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_REQUEST_READER_H_
