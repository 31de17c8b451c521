#pragma once

#include "../http/asio.h"

#include <buckthorncroft/config/model.h>
#include <optional>
#include <string>

namespace buckthorncroft::daemon {

/// Name of the service that a request is for: `Buckthorncroft-Service`, or else the first label of `Host`.
std::string serviceNameOf(const http::bhttp::request_header<>& head);

/// The route with the longest matching prefix among those that allow the method, or null.
const config::Route* findRoute(const config::Service& service, const http::bhttp::request_header<>& head);

/// Whether the path holds `.` or `..` segments, plain or encoded. A target that resolves them could run a
/// non-idempotent request that this instance took for an idempotent one.
bool hasDotSegments(http::beast::string_view target);

/// The caller's `Buckthorncroft-Deadline-Ms`. `valid` becomes false when the header is not a number.
std::optional<std::chrono::milliseconds> callerDeadline(const http::bhttp::request_header<>& head, bool& valid);

} // namespace buckthorncroft::daemon
