#include "event_loop.h"

namespace buckthorncroft::gateway {

void runEventLoop(http::asio::io_context& io, const observe::Logger& log, const char* thread)
{
    while (!io.stopped()) {
        try {
            io.run();
        } catch (const std::exception& error) {
            log.write(observe::Level::Error, "handler_failed", { { "thread", thread }, { "reason", error.what() } });
        }
    }
}

} // namespace buckthorncroft::gateway
