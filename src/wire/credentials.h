#pragma once

#include <buckthorncroft/wire/tls_material.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <memory>

namespace buckthorncroft::wire::detail {

/// Create gRPC credentials for mutual TLS. The peer must present a certificate that the fleet's authority has signed.
/// Changed certificate files are reloaded. If `tls.plaintext` is set, the credentials use no TLS. Return null if a file
/// cannot be read.
std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const TlsMaterial& tls);
std::shared_ptr<grpc::ChannelCredentials> makeChannelCredentials(const TlsMaterial& tls);

} // namespace buckthorncroft::wire::detail
