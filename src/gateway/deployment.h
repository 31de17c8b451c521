#pragma once

#include "header_names.h"
#include "registry.h"

#include <buckthorncroft/base/clock.h>
#include <buckthorncroft/gateway/settings.h>
#include <functional>
#include <memory>
#include <string>

namespace buckthorncroft::gateway {

/// The parts of a gateway that depend on the platform on which it runs.
struct Deployment {
    HeaderNames headers;
    std::string settingsFileVariable; ///< Environment variable that names the settings file. Empty if there is none.
    /// Creates the client of the registry at the given address.
    std::function<std::unique_ptr<Registry>(http::asio::io_context&, const base::Clock&, const daemon::Endpoint&)>
        makeRegistry;
};

} // namespace buckthorncroft::gateway
