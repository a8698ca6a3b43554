#ifndef SISKINRACK_LIB_NET_HTTP_FRAMING_H_
#define SISKINRACK_LIB_NET_HTTP_FRAMING_H_

#include <boost/beast/http.hpp>
#include <string_view>

namespace siskinrack::net::detail {

/// Looks for framing of a request that another HTTP implementation may read differently, which
/// would let a second request hide in the first. `header` holds the bytes of the header section,
/// its final empty line included. Returns the problem, or an empty view.
std::string_view FramingProblem(std::string_view header,
                                const boost::beast::http::request_header<>& message);

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_HTTP_FRAMING_H_
