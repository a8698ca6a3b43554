#ifndef SISKINRACK_LIB_NET_HANDLER_FAILURE_H_
#define SISKINRACK_LIB_NET_HANDLER_FAILURE_H_

#include <exception>
#include <iostream>
#include <string_view>

namespace siskinrack::net::detail {

/// Logs an exception that a request handler threw. Handlers report errors by values; an exception
/// is a defect or a lack of memory, and must end one request, not the process.
inline void LogHandlerFailure(std::string_view server, const std::exception& error) {
  std::cerr << "level=error event=handler_failed server=" << server << " error=\"" << error.what()
            << "\"\n";
}

}  // namespace siskinrack::net::detail

#endif  // SISKINRACK_LIB_NET_HANDLER_FAILURE_H_
