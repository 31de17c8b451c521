#include "credentials.h"

#include <fstream>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace buckthorncroft::wire::detail {

namespace {

    namespace experimental = grpc::experimental;

    constexpr unsigned certificateRefreshSeconds = 10;

    bool isReadable(const std::string& file)
    {
        return std::ifstream(file).good();
    }

    bool isUsable(const TlsMaterial& tls)
    {
        return isReadable(tls.certificateFile) && isReadable(tls.privateKeyFile) && isReadable(tls.authorityFile);
    }

    void watchFiles(experimental::TlsCredentialsOptions& options, const TlsMaterial& tls)
    {
        options.set_certificate_provider(std::make_shared<experimental::FileWatcherCertificateProvider>(
            tls.privateKeyFile, tls.certificateFile, tls.authorityFile, certificateRefreshSeconds));
        options.watch_root_certs();
        options.watch_identity_key_cert_pairs();
    }

} // namespace

std::shared_ptr<grpc::ServerCredentials> serverCredentials(const TlsMaterial& tls)
{
    if (tls.plaintext)
        return grpc::InsecureServerCredentials();
    if (!isUsable(tls))
        return nullptr;
    experimental::TlsServerCredentialsOptions options(std::make_shared<experimental::FileWatcherCertificateProvider>(
        tls.privateKeyFile, tls.certificateFile, tls.authorityFile, certificateRefreshSeconds));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return experimental::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const TlsMaterial& tls)
{
    if (tls.plaintext)
        return grpc::InsecureChannelCredentials();
    if (!isUsable(tls))
        return nullptr;
    experimental::TlsChannelCredentialsOptions options;
    watchFiles(options, tls);
    options.set_verify_server_certs(true);
    // Instances are replaced at any time and get new IP numbers, so certificates name no host. The authority signs
    // certificates of this fleet's instances only, and membership in it is what the check establishes.
    options.set_check_call_host(false);
    options.set_certificate_verifier(std::make_shared<experimental::NoOpCertificateVerifier>());
    return experimental::TlsCredentials(options);
}

} // namespace buckthorncroft::wire::detail
