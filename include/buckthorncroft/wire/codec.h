#pragma once

#include <buckthorncroft/base/error.h>
#include <buckthorncroft/wire/messages.h>
#include <string>
#include <string_view>

namespace buckthorncroft::wire {

/// Encodes a report in the form that travels between instances.
std::string encode(const Report& report);

/// Decodes and validates a report. Returns `Malformed` or `LimitExceeded`; the message says what is wrong, and nothing
/// of the message may be used. Never throws on arbitrary input.
base::Result<Report> decode(std::string_view bytes, const MessageLimits& limits = {});

} // namespace buckthorncroft::wire
