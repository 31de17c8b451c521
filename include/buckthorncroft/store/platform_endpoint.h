#pragma once

#include <buckthorncroft/store/memory_platform.h>
#include <string>

namespace buckthorncroft::store {

/// An HTTP answer of the platform stand-in.
struct EndpointResponse {
    unsigned status = 200;
    std::string body; ///< JSON; `{"error": ..., "message": ...}` unless the status is 200.
};

/// Runs one call of the platform's HTTP interface, which HttpPlatform speaks, on `platform`. `path` names the call, for
/// example `/table/read`; `body` is JSON. `/control` replaces the faults that it names and answers with all of them.
/// Malformed input is answered with 400.
EndpointResponse serveCall(MemoryPlatform& platform, const std::string& path, const std::string& body);

} // namespace buckthorncroft::store
