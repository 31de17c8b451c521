#pragma once

#include <string>

namespace buckthorncroft::wire {

/// Certificate files for mutual TLS between instances. Client and server both present a certificate, and both accept
/// only certificates that the certificate authority of the fleet has signed.
struct TlsMaterial {
    bool plaintext = false; ///< Disables TLS. Set only if the settings request it.
    std::string certificateFile; ///< PEM. Changed files are reloaded, so a certificate can be renewed in place.
    std::string privateKeyFile; ///< PEM.
    std::string authorityFile; ///< PEM. Certificate of the authority.
};

} // namespace buckthorncroft::wire
