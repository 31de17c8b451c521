#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/wire/exchange.pb.h>
#include <buckthorncroft/wire/messages.h>

namespace buckthorncroft::wire::detail {

/// Converts between the aggregates of this package and the generated messages. The `from` functions validate and
/// return `Malformed` or `LimitExceeded`.
proto::Report toProto(const Report& report);
base::Result<Report> fromProto(const proto::Report& message, const MessageLimits& limits);

proto::PlaceRequest toProto(const PlaceRequest& request);
base::Result<PlaceRequest> fromProto(const proto::PlaceRequest& message, const MessageLimits& limits);

} // namespace buckthorncroft::wire::detail
