#pragma once

#include <string>

namespace buckthorncroft::wire {

/// Certificates of the inner endpoint. Both sides present one; each accepts only those signed by the authority.
struct TlsMaterial {
    bool plaintext = false; ///< No transport security; only when the settings say so.
    std::string certificateFile; ///< PEM. Read again while running, so that it can be renewed in place.
    std::string privateKeyFile; ///< PEM.
    std::string authorityFile; ///< PEM.
};

} // namespace buckthorncroft::wire
