#pragma once

#include "../http/asio.h"

#include <buckthorncroft/config/model.h>
#include <optional>
#include <string>

namespace buckthorncroft::daemon {

/// Returns the name of the requested service: the header `Buckthorncroft-Service`, or else the first label of `Host`.
std::string serviceNameOf(const http::bhttp::request_header<>& head);

/// Returns the route with the longest matching path prefix among those that allow the method, or null. The result
/// points into `service`.
const config::Route* findRoute(const config::Service& service, const http::bhttp::request_header<>& head);

/// Whether the path contains `.` or `..` segments, literal or percent-encoded. A target that resolves them could run a
/// non-idempotent request that this instance matched to an idempotent route.
bool hasDotSegments(http::beast::string_view target);

/// Returns the value of `Buckthorncroft-Deadline-Ms`, capped at one hour, or nothing if the header is absent. Sets
/// `valid` to false, and returns an unspecified value, if it is not a non-negative number.
std::optional<std::chrono::milliseconds> parseCallerDeadline(const http::bhttp::request_header<>& head, bool& valid);

} // namespace buckthorncroft::daemon
