#ifndef SISKINRACK_LIB_NET_HTTP_FRAMING_H_
#define SISKINRACK_LIB_NET_HTTP_FRAMING_H_

#include <boost/beast/http.hpp>
#include <string_view>

namespace siskinrack::net::detail {

/// Checks the line ends of lines of a header section. Returns an error message, or an empty view if
/// they are valid. Rejects obsolete line folding, which turns a field with a blank before its name
/// into a part of the field before it.
std::string_view CheckLines(std::string_view lines);

/// Checks the framing of a request. Returns an error message, or an empty view if the framing is
/// valid. Rejects framing that another HTTP implementation may interpret differently, which would
/// allow request smuggling. `header` holds the bytes of the header section, including its final
/// empty line.
std::string_view CheckFraming(std::string_view header,
                              const boost::beast::http::request_header<>& message);

/// Checks the status and the framing of a response. Returns an error message, or an empty view if
/// HTTP allows the response and its body can be read. The lines have been parsed and checked
/// before.
std::string_view CheckResponseHead(const boost::beast::http::response_header<>& message);

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_HTTP_FRAMING_H_
