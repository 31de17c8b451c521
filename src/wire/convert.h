#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/wire/exchange.pb.h>
#include <buckthorncroft/wire/messages.h>

namespace buckthorncroft::wire::detail {

/// Conversions between the structs of messages.h and the generated protobuf messages. `fromProto` validates the message
/// and returns `Malformed` or `LimitExceeded` if it is invalid.
proto::Report toProto(const Report& report);
base::Result<Report> fromProto(const proto::Report& message, const MessageLimits& limits);

proto::PlaceRequest toProto(const PlaceRequest& request);
base::Result<PlaceRequest> fromProto(const proto::PlaceRequest& message, const MessageLimits& limits);

} // namespace buckthorncroft::wire::detail
