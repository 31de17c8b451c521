#pragma once

#include <buckthorncroft/store/platform.h>

namespace buckthorncroft::store {

/// Client of the platform's HTTP service. Each call uses a new connection and has one deadline, which covers everything
/// from the connect to the last byte of the response. No call is ever sent twice.
///
/// Errors: `Unavailable` when no connection could be made or the platform refused the call; `Timeout` when the deadline
/// passed and `OutcomeUnknown` when the connection broke, both after the request may have been sent; `Malformed` for
/// an invalid response (a write may have taken effect); `InvalidArgument` for keys or values that are not UTF-8.
class HttpPlatform final : public Platform {
public:
    /// `host` is an IP address.
    HttpPlatform(std::string host, std::uint16_t port);

    /// Registers this instance in the instance list or renews its entry. Must be called every few seconds.
    base::Result<void> heartbeat(const ListedInstance& instance, std::chrono::milliseconds timeout);

    base::Result<Row> read(const std::string& key, bool linearizable, std::chrono::milliseconds timeout) override;
    base::Result<std::vector<Row>> scan(
        const std::string& prefix, std::size_t limit, std::chrono::milliseconds timeout) override;
    base::Result<void> commit(const std::vector<Write>& writes, std::chrono::milliseconds timeout) override;
    base::Result<void> putObject(
        const std::string& name, const std::string& content, std::chrono::milliseconds timeout) override;
    base::Result<std::string> getObject(const std::string& name, std::chrono::milliseconds timeout) override;
    base::Result<std::vector<ListedInstance>> listInstances(std::chrono::milliseconds timeout) override;

private:
    base::Result<std::string> call(
        const std::string& path, const std::string& body, std::chrono::milliseconds timeout) const;

    std::string m_host;
    std::uint16_t m_port;
};

} // namespace buckthorncroft::store
