#include "request_reader.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "http_fields.h"
#include "http_framing.h"

namespace siskinrack::net::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusTimeout = 408;
constexpr unsigned kStatusTooLarge = 413;
constexpr unsigned kStatusHeaderTooLarge = 431;
constexpr unsigned kStatusUnavailable = 503;
/// Framing that is accepted for each byte of a chunked body, in addition to the limit of a header
/// section. A chunk of one byte has 5 bytes of framing without extensions.
constexpr std::size_t kMaxFramingPerByte = 16;

std::string_view ViewBytes(const beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.cdata().data()), buffer.size()};
}

unsigned ToHttpStatus(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return kStatusTooLarge;
  if (error == http::error::header_limit) return kStatusHeaderTooLarge;
  return kStatusBadRequest;
}

}  // namespace

request_reader::request_reader(const http_limits& limits, memory_budget* memory)
    : limits_(limits), memory_(memory), charge_(memory, memory_use::kRequestBody) {
  parser_.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser_.body_limit(limits.body_bytes);
  parser_.eager(true);
}

read_state request_reader::Read(beast::flat_buffer& buffer) {
  if (state_ == read_state::kHeader) ReadHeader(buffer);
  if (state_ == read_state::kBody || state_ == read_state::kMemory) ReadBody(buffer);
  return state_;
}

void request_reader::RefuseForMemory() {
  Fail(kStatusUnavailable, "no memory for the request at the moment");
}

void request_reader::RefuseAsLate() { Fail(kStatusTimeout, "request was not received in time"); }

bool request_reader::is_small() const {
  const std::size_t bytes = std::max(announced_bytes_, body_bytes_ + kReadChunkBytes);
  return memory_ == nullptr || bytes <= memory_->limits().small_charge;
}

std::size_t request_reader::ComputeReadBytes() const {
  const bool is_large = std::max(announced_bytes_, body_bytes_) > kBodyChunkBytes;
  return state_ == read_state::kBody && is_large ? kBodyChunkBytes : kReadChunkBytes;
}

http_request request_reader::Release() {
  request_.body = std::move(parser_.get().body());
  return std::move(request_);
}

void request_reader::ReadHeader(beast::flat_buffer& buffer) {
  // The whole header section is parsed at once, so that its bytes can be checked as well.
  constexpr std::string_view kHeaderEnd = "\r\n\r\n";
  const std::size_t end = ViewBytes(buffer).find(kHeaderEnd);
  if (end == std::string_view::npos) {
    if (buffer.size() > limits_.header_bytes) Fail(http::error::header_limit);
    return;
  }
  const std::size_t size = end + kHeaderEnd.size();
  boost::system::error_code error;
  parser_.put(asio::buffer(buffer.cdata().data(), size), error);
  if (error && error != http::error::need_more) return Fail(error);
  const http::request_header<>& header = parser_.get().base();
  const std::string_view problem = CheckFraming(ViewBytes(buffer).substr(0, size), header);
  if (!problem.empty()) return Fail(kStatusBadRequest, problem);
  buffer.consume(size);
  keep_alive_ = parser_.get().keep_alive();
  version_ = header.version();
  request_ = FromBeastHeader(header);
  expects_continue_ = beast::iequals(header[http::field::expect], "100-continue");
  announced_bytes_ = parser_.content_length().value_or(0);
  state_ = parser_.is_done() ? read_state::kDone : read_state::kBody;
}

void request_reader::ReadBody(beast::flat_buffer& buffer) {
  state_ = read_state::kBody;
  // An announced body is charged as a whole, so that it isn't refused after a part of it has been
  // received.
  if (charge_.bytes() == 0 && !charge_.Resize(announced_bytes_)) {
    state_ = read_state::kMemory;
    return;
  }
  while (buffer.size() > 0 && state_ == read_state::kBody) {
    const std::size_t needed = body_bytes_ + buffer.size();
    if (needed > charge_.bytes() && !charge_.Resize(needed)) {
      state_ = read_state::kMemory;
      return;
    }
    boost::system::error_code error;
    const std::size_t consumed = parser_.put(buffer.cdata(), error);
    buffer.consume(consumed);
    framing_bytes_ += consumed - (CountBodyBytes() - body_bytes_);
    body_bytes_ = CountBodyBytes();
    if (error && error != http::error::need_more) return Fail(error);
    if (parser_.is_done()) state_ = read_state::kDone;
    if (framing_bytes_ > limits_.header_bytes + kMaxFramingPerByte * body_bytes_) {
      return Fail(kStatusHeaderTooLarge, "too much framing for the size of the body");
    }
    if (error || consumed == 0) break;
  }
  if (state_ == read_state::kBody && buffer.size() > limits_.header_bytes) {
    return Fail(kStatusHeaderTooLarge, "chunk header or trailer section is too large");
  }
  // Framing and the next request belong to no body.
  charge_.ForceResize(std::max(announced_bytes_, body_bytes_));
}

void request_reader::Fail(unsigned status, std::string_view error) {
  state_ = read_state::kFailed;
  status_ = status;
  error_ = error;
  charge_.Release();
  // An assignment would keep the capacity.
  std::string().swap(parser_.get().body());
}

void request_reader::Fail(const boost::system::error_code& error) {
  Fail(ToHttpStatus(error), error.message());
}

}  // namespace siskinrack::net::detail
