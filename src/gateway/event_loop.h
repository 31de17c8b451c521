#pragma once

#include "../http/asio.h"

#include <buckthorncroft/observe/log.h>

namespace buckthorncroft::gateway {

/// Runs `io` until it is stopped. An exception that leaves a handler is logged under the name `thread`, and the loop
/// continues, so that one unexpected error does not end the process with all its requests.
void runEventLoop(http::asio::io_context& io, const observe::Logger& log, const char* thread);

} // namespace buckthorncroft::gateway
