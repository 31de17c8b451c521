#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/wire/messages.h>
#include <string>
#include <string_view>

namespace buckthorncroft::wire {

/// Encodes a report as the protobuf message `Report` of exchange.proto.
std::string encode(const Report& report);

/// Decodes and validates a report. Errors: `LimitExceeded` if `bytes` is too long, `Malformed` if any part of the
/// report is invalid; the error message names the first problem. Does not throw on any input.
base::Result<Report> decode(std::string_view bytes, const MessageLimits& limits = {});

} // namespace buckthorncroft::wire
