#pragma once

#include <boost/outcome/result.hpp>
#include <string>

namespace buckthorncroft::base {

/// What kind of failure an operation met. Callers branch on the code; the message is for people.
enum class ErrorCode {
    InvalidArgument, ///< The input is malformed or out of bounds.
    NotFound, ///< The named item does not exist.
    Conflict, ///< A conditional operation found another version.
    Unavailable, ///< The other side could not be reached or refused the request without running it.
    Timeout, ///< The deadline passed; the operation may have taken effect.
    OutcomeUnknown, ///< The connection broke after the request was sent; the operation may have taken effect.
    Malformed, ///< The other side answered with something that breaks the protocol.
    PermissionDenied, ///< The identity is unknown or lacks the role.
    LimitExceeded, ///< A bound on size, count or rate was reached.
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

/// A typed error with a message for people.
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string message;
};

/// A value or an Error. Reading the value of a failed result, or the error of a successful one, is a programming
/// error and terminates the program.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace buckthorncroft::base
