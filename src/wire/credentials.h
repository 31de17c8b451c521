#pragma once

#include <buckthorncroft/wire/tls_material.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <memory>

namespace buckthorncroft::wire::detail {

/// Credentials that require a certificate of the fleet's authority from the other side and that read the files again
/// when they change. Plain text only when the material says so. Null when the files cannot be used.
std::shared_ptr<grpc::ServerCredentials> serverCredentials(const TlsMaterial& tls);
std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const TlsMaterial& tls);

} // namespace buckthorncroft::wire::detail
