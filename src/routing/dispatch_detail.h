#pragma once

#include <algorithm>
#include <buckthorncroft/routing/dispatch_request.h>
#include <string>
#include <vector>

namespace buckthorncroft::routing::detail {

inline bool contains(const std::vector<std::string>& list, const std::string& value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

inline bool isIdempotent(const DispatchRequest& request)
{
    return request.kind == config::RequestKind::Idempotent;
}

} // namespace buckthorncroft::routing::detail
