#include "http_fields.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/span_body.hpp>
#include <stdexcept>

namespace siskinrack::net {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;

/// Returns true for fields that apply to one connection or one transfer of a message only, and must
/// not be forwarded: the connection-level fields (RFC 9110, 7.6.1) and Host, Content-Length, Expect
/// and Trailer.
bool IsConnectionField(http::field field) {
  constexpr std::array kFields = {http::field::connection,       http::field::keep_alive,
                                  http::field::proxy_connection, http::field::te,
                                  http::field::trailer,          http::field::transfer_encoding,
                                  http::field::upgrade,          http::field::host,
                                  http::field::content_length,   http::field::expect};
  return std::find(kFields.begin(), kFields.end(), field) != kFields.end();
}

template <typename Message>
std::vector<http_field> CopyFields(const Message& message) {
  std::vector<http_field> fields;
  // The Connection field lists further connection-level fields (RFC 9110, 7.6.1).
  http::token_list connection_fields(message[http::field::connection]);
  for (const auto& field : message) {
    if (IsConnectionField(field.name()) || connection_fields.exists(field.name_string())) continue;
    fields.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return fields;
}

template <typename Message>
void InsertFields(Message& message, const std::vector<http_field>& fields) {
  for (const http_field& field : fields) message.insert(field.name, field.value);
}

/// Sets everything but the body and what depends on it.
template <typename Message>
void FillRequest(Message& message, const http_request& request, const std::string& host) {
  message.method_string(request.method);
  message.target(request.target);
  message.version(kHttp11);
  InsertFields(message, request.fields);
  message.set(http::field::host, request.host.empty() ? host : request.host);
  message.keep_alive(true);
}

boost::beast::span<const char> ViewBody(const http_request& request) {
  const std::string_view body = request.body_view.empty() ? request.body : request.body_view;
  return {body.data(), body.size()};
}

}  // namespace

std::string_view FindField(const std::vector<http_field>& fields, std::string_view name) {
  for (const http_field& field : fields) {
    if (boost::beast::iequals({field.name.data(), field.name.size()}, {name.data(), name.size()})) {
      return field.value;
    }
  }
  return {};
}

std::optional<std::string> FindRequestProblem(const http_request& request) {
  if (request.method.empty() || request.target.empty()) return "request line is incomplete";
  try {
    http::request<http::span_body<const char>> message;
    FillRequest(message, request, request.host);
    // A view instead of a copy: a body may be long.
    message.body() = ViewBody(request);
    message.prepare_payload();
  } catch (const std::logic_error& error) {
    // The library reports arguments that it refuses only by exceptions.
    return error.what();
  }
  return std::nullopt;
}

namespace detail {

http_request FromBeastHeader(const http::request_header<>& header) {
  http_request request;
  request.method = std::string(header.method_string());
  request.target = std::string(header.target());
  request.host = std::string(header[http::field::host]);
  request.fields = CopyFields(header);
  return request;
}

http_response FromBeastHeader(const http::response_header<>& header) {
  return {header.result_int(), CopyFields(header), {}};
}

beast_request ToBeastRequest(const http_request& request, const std::string& host) {
  beast_request message;
  FillRequest(message, request, host);
  message.body() = ViewBody(request);
  message.prepare_payload();
  return message;
}

beast_response ToBeastResponse(http_response response, unsigned version) {
  beast_response message;
  message.result(response.status);
  message.version(version);
  InsertFields(message, response.fields);
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

}  // namespace detail
}  // namespace siskinrack::net
