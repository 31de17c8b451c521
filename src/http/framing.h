#pragma once

#include "connection.h"

#include <optional>
#include <string>
#include <string_view>

namespace buckthorncroft::http {

/// Status and reason of a request that is rejected before anything is sent to a target.
struct RequestRejection {
    unsigned status = 400;
    std::string reason; ///< Sentence for the caller and the log.
};

/// Returns the rejection for an error in reading a request, or nothing if the connection failed or ended.
std::optional<RequestRejection> rejectionForReadError(error_code ec);

/// Whether a line of a header block begins with a blank. Beast's parser joins such a line with the previous one, while
/// other readers of the same message may take it for a field of its own, or for the end of the block.
bool hasFoldedLine(std::string_view head);

/// Reads until the buffer of the connection contains a complete header block or `limit` bytes. Must precede the reading
/// of a request by Beast's parser, which accepts folded lines. Errors: `bad_obs_fold` if a line is folded, and errors
/// of the connection.
Awaitable<error_code> bufferRequestHead(Connection& connection, std::size_t limit);

/// Returns the rejection of a request that Beast's parser accepts but this proxy does not: repeated lengths, unknown
/// transfer codings, a missing or repeated `Host`, and request targets that are not paths. Returns nothing if the head
/// is valid.
std::optional<RequestRejection> checkRequestHead(const bhttp::request_header<>& head);

/// Checks the head of a response that Beast's parser has accepted. Errors: `bad_status` if HTTP defines no class for
/// the status (RFC 9110, section 15), and `bad_transfer_encoding` for all transfer codings but chunked, which can't be
/// decoded and are not relayed.
error_code checkResponseHead(const bhttp::response_header<>& head);

/// Removes hop-by-hop headers, including those that `Connection` names.
void removeHopByHopHeaders(bhttp::fields& fields);

/// Whether a response to `method` with this status never has a body.
bool responseHasNoBody(bhttp::verb method, unsigned status);

} // namespace buckthorncroft::http
