#include "response_reader.h"

#include <utility>

#include "http_fields.h"
#include "http_framing.h"

namespace siskinrack::net::detail {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

}  // namespace

response_reader::response_reader(bool answers_head) {
  parser_.header_limit(kMaxHeaderBytes);
  parser_.body_limit(kMaxResponseBytes);
  parser_.skip(answers_head);
}

void response_reader::Read(beast::flat_buffer& buffer) {
  if (error_.empty() && !parser_.is_header_done()) ReadHead(buffer);
  if (error_.empty() && parser_.is_header_done() && !parser_.is_done()) ReadBody(buffer);
}

void response_reader::ReadEnd(bool in_order) {
  if (!in_order) return Fail("connection failed before the end of the response");
  boost::system::error_code error = http::error::end_of_stream;
  if (parser_.got_some()) parser_.put_eof(error);
  if (error) Fail(error.message());
}

http_response response_reader::Release() {
  response_.body = std::move(parser_.get().body());
  return std::move(response_);
}

void response_reader::ReadHead(beast::flat_buffer& buffer) {
  if (buffer.size() == 0) return;
  boost::system::error_code error;
  const std::size_t size = parser_.put(buffer.cdata(), error);
  const std::string_view lines(static_cast<const char*>(buffer.cdata().data()), size);
  if (error && error != http::error::need_more) return Fail(error.message());
  if (const auto problem = CheckLines(lines); !problem.empty()) return Fail(problem);
  buffer.consume(size);
  if (!parser_.is_header_done()) return;
  const http::response_header<>& header = parser_.get().base();
  if (const auto problem = CheckResponseHead(header); !problem.empty()) return Fail(problem);
  response_ = FromBeastHeader(header);
  keep_alive_ = parser_.get().keep_alive() && !parser_.get().need_eof();
  keep_alive_field_ = header[http::field::keep_alive];
  parser_.eager(true);
}

void response_reader::ReadBody(beast::flat_buffer& buffer) {
  if (buffer.size() == 0) return;
  boost::system::error_code error;
  buffer.consume(parser_.put(buffer.cdata(), error));
  if (error && error != http::error::need_more) Fail(error.message());
}

void response_reader::Fail(std::string_view error) {
  error_ = error;
  // An assignment would keep the capacity.
  std::string().swap(parser_.get().body());
}

}  // namespace siskinrack::net::detail
