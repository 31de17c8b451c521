#pragma once

#include <buckthorncroft/store/memory_platform.h>
#include <string>

namespace buckthorncroft::store {

/// An HTTP response of the platform stand-in.
struct EndpointResponse {
    unsigned status = 200;
    std::string body; ///< JSON; `{"error": ..., "message": ...}` unless the status is 200.
};

/// Runs one call of the platform's HTTP interface, whose client is HttpPlatform, on `platform`. `path` selects the
/// call, for example `/table/read`; `body` is JSON. `/control` sets the faults that the body names and returns all
/// faults. Returns status 400 for malformed input and 404 for an unknown call.
EndpointResponse serveCall(MemoryPlatform& platform, const std::string& path, const std::string& body);

} // namespace buckthorncroft::store
