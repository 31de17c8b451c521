#include "credentials.h"

#include <fstream>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace buckthorncroft::wire::detail {

namespace {

    namespace experimental = grpc::experimental;

    constexpr unsigned reloadIntervalSeconds = 10;

    bool isReadable(const std::string& file)
    {
        return std::ifstream(file).good();
    }

    bool hasReadableFiles(const TlsMaterial& tls)
    {
        return isReadable(tls.certificateFile) && isReadable(tls.privateKeyFile) && isReadable(tls.authorityFile);
    }

    void enableCertificateReload(experimental::TlsCredentialsOptions& options, const TlsMaterial& tls)
    {
        options.set_certificate_provider(std::make_shared<experimental::FileWatcherCertificateProvider>(
            tls.privateKeyFile, tls.certificateFile, tls.authorityFile, reloadIntervalSeconds));
        options.watch_root_certs();
        options.watch_identity_key_cert_pairs();
    }

} // namespace

std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const TlsMaterial& tls)
{
    if (tls.plaintext)
        return grpc::InsecureServerCredentials();
    if (!hasReadableFiles(tls))
        return nullptr;
    experimental::TlsServerCredentialsOptions options(std::make_shared<experimental::FileWatcherCertificateProvider>(
        tls.privateKeyFile, tls.certificateFile, tls.authorityFile, reloadIntervalSeconds));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return experimental::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> makeChannelCredentials(const TlsMaterial& tls)
{
    if (tls.plaintext)
        return grpc::InsecureChannelCredentials();
    if (!hasReadableFiles(tls))
        return nullptr;
    experimental::TlsChannelCredentialsOptions options;
    enableCertificateReload(options, tls);
    options.set_verify_server_certs(true);
    // Certificates contain no host name, because instances are replaced at any time and get new IP addresses. A
    // signature of the authority is enough: it signs only certificates of this fleet's instances.
    options.set_check_call_host(false);
    options.set_certificate_verifier(std::make_shared<experimental::NoOpCertificateVerifier>());
    return experimental::TlsCredentials(options);
}

} // namespace buckthorncroft::wire::detail
