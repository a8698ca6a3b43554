#ifndef SISKINRACK_NET_HEAD_RESPONSES_H_
#define SISKINRACK_NET_HEAD_RESPONSES_H_

#include <utility>

#include "siskinrack/net/http_server.h"

namespace siskinrack::net {

/// Returns a handler that calls `handler` and removes the body of its responses to HEAD requests. A
/// client would take such a body for the start of the next response (RFC 9110, 9.3.2).
inline http_handler OmitHeadBodies(http_handler handler) {
  return [handler = std::move(handler)](http_request request, cancellation& cancel) {
    const bool is_head = request.method == "HEAD";
    http_response response = handler(std::move(request), cancel);
    if (is_head) response.body.clear();
    return response;
  };
}

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_HEAD_RESPONSES_H_
