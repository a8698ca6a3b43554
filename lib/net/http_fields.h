#ifndef SISKINRACK_LIB_NET_HTTP_FIELDS_H_
#define SISKINRACK_LIB_NET_HTTP_FIELDS_H_

#include <boost/beast/http.hpp>
#include <string>

#include "siskinrack/net/http.h"

namespace siskinrack::net::detail {

/// Request whose body is owned elsewhere.
using beast_request = boost::beast::http::request<boost::beast::http::span_body<const char>>;
using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Convert between the message types of this library and of Beast. FromBeast functions omit the
/// fields that http_request::fields excludes. ToBeast functions set the framing fields.
/// FromBeastHeader returns a message without its body.
http_request FromBeastHeader(const boost::beast::http::request_header<>& header);
http_response FromBeastHeader(const boost::beast::http::response_header<>& header);
/// `host` is the value of the Host field if `request.host` is empty. The result refers to the body
/// of `request`.
beast_request ToBeastRequest(const http_request& request, const std::string& host);
/// `version` is the HTTP version in Beast's form, 11 for HTTP/1.1.
beast_response ToBeastResponse(http_response response, unsigned version);

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_HTTP_FIELDS_H_
