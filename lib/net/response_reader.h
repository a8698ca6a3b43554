#ifndef SISKINRACK_LIB_NET_RESPONSE_READER_H_
#define SISKINRACK_LIB_NET_RESPONSE_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "siskinrack/net/http.h"

namespace siskinrack::net::detail {

/// Reads one final or interim response from received bytes, and decides whether its head is valid
/// and whether it is whole. Bounds its header section and its body. Does no I/O.
class response_reader {
 public:
  /// `answers_head` tells that the response has no body because the method of its request is HEAD.
  explicit response_reader(bool answers_head);

  /// Reads from `buffer` what belongs to the response. Bytes that are left form the beginning
  /// of a line, a chunk header or a trailer section, or follow the response.
  void Read(boost::beast::flat_buffer& buffer);
  /// Reads the end of the connection. If the server ended it in order, it completes a response
  /// without a length. Any other response is truncated.
  void ReadEnd(bool in_order);

  /// Returns true if the response is whole.
  [[nodiscard]] bool done() const { return error_.empty() && parser_.is_done(); }
  /// Returns the reason for which there is no response; empty if there is none.
  [[nodiscard]] std::string_view error() const { return error_; }
  [[nodiscard]] std::size_t body_bytes() { return parser_.get().body().size(); }
  /// Returns true if another response is to follow this one. The response must be done.
  [[nodiscard]] bool is_interim() const { return response_.status < kFirstFinalStatus; }
  /// Returns true if the connection can be used for another request after this response, as far as
  /// its head states. The response must be done.
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  /// Returns the value of the Keep-Alive field.
  [[nodiscard]] std::string_view keep_alive_field() const { return keep_alive_field_; }

  /// Returns the response, which must be done. The fields of a trailer section are dropped: they
  /// are no fields of the head, which a receiver acts on.
  http_response Release();

 private:
  void ReadHead(boost::beast::flat_buffer& buffer);
  void ReadBody(boost::beast::flat_buffer& buffer);
  void Fail(std::string_view error);

  static constexpr unsigned kFirstFinalStatus = 200;

  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  http_response response_;
  bool keep_alive_ = false;
  std::string keep_alive_field_;
  std::string error_;
};

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_RESPONSE_READER_H_
