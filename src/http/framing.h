#pragma once

#include "asio.h"

#include <optional>
#include <string>

namespace buckthorncroft::http {

/// Why a request is refused before anything is sent to a target.
struct Refusal {
    unsigned status = 400;
    std::string reason; ///< One sentence for the caller and the log.
};

/// Explains why a request head could not be read, or returns nothing when the connection ended without a request.
std::optional<Refusal> rejectionForReadError(error_code ec);

/// Checks what Beast's parser lets pass: repeated lengths, unknown transfer codings, missing or repeated `Host`,
/// and forms of the target that this proxy does not serve.
std::optional<Refusal> checkRequestHead(const bhttp::request_header<>& head);

/// Removes the headers that concern one connection only, including those that `Connection` names.
void removeHopByHopHeaders(bhttp::fields& fields);

/// Whether an answer to `method` with this status never has a body.
bool hasNoBody(bhttp::verb method, unsigned status);

} // namespace buckthorncroft::http
