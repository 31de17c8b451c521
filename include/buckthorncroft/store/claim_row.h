#pragma once

#include <buckthorncroft/outcome/claim_machine.h>
#include <optional>
#include <string>

namespace buckthorncroft::store {

/// Prefix of the keys of all claim rows in the table.
constexpr const char* claimKeyPrefix = "claim/";

/// Returns the key of a claim's row: a digest of service and idempotency key, followed by both in readable form. The
/// digest comes first, so that a scan with a prefix of its digits returns a random sample of all claims.
std::string claimKey(const outcome::ClaimRequest& request);

/// Returns the row's content as JSON. The headers and body of the recorded response may contain any bytes.
std::string formatClaim(const outcome::ClaimRow& row);

/// Parses the output of `formatClaim`. Returns nothing if `text` is not a valid claim.
std::optional<outcome::ClaimRow> parseClaim(const std::string& text);

} // namespace buckthorncroft::store
