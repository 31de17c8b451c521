#include <buckthorncroft/wire/codec.h>

#include "convert.h"

namespace buckthorncroft::wire {

std::string encode(const Report& report)
{
    return detail::toProto(report).SerializeAsString();
}

base::Result<Report> decode(std::string_view bytes, const MessageLimits& limits)
{
    if (bytes.size() > limits.maxBytes)
        return base::Error { base::ErrorCode::LimitExceeded, "the message is too large" };
    proto::Report message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return base::Error { base::ErrorCode::Malformed, "the message cannot be parsed" };
    return detail::fromProto(message, limits);
}

} // namespace buckthorncroft::wire
