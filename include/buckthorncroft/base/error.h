#pragma once

#include <boost/outcome/result.hpp>
#include <string>

namespace buckthorncroft::base {

/// Category of a failure. Code branches on the category only; the message of an error is for people.
enum class ErrorCode {
    InvalidArgument, ///< The input is malformed or out of bounds.
    NotFound, ///< The named item does not exist.
    Conflict, ///< A conditional operation found a version other than the expected one.
    Unavailable, ///< The server could not be reached or rejected the request without executing it.
    Timeout, ///< The deadline passed; the operation may have taken effect.
    OutcomeUnknown, ///< The connection broke after the request was sent; the operation may have taken effect.
    Malformed, ///< A response, a message or a stored row is not valid.
    PermissionDenied, ///< The identity is unknown or lacks the required role.
    LimitExceeded, ///< A limit on size, count or rate is reached.
};

/// Returns the code's name in snake_case, as printed in logs.
inline const char* toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::PermissionDenied:
        return "permission_denied";
    case ErrorCode::LimitExceeded:
        return "limit_exceeded";
    }
    return "unknown";
}

/// An error code with a message for people.
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string message;
};

/// A value or an `Error`. Reading the value of a failed result, or the error of a successful one, is a programming
/// error and terminates the program.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace buckthorncroft::base
