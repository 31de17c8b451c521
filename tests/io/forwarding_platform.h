#pragma once

#include <buckthorncroft/store/platform.h>

namespace buckthorncroft::tests {

/// Forwards all calls to another platform. Tests override the calls in which they inject faults.
class ForwardingPlatform : public store::Platform {
public:
    explicit ForwardingPlatform(store::Platform& inner)
        : m_inner(inner)
    {
    }

    base::Result<store::Row> read(const std::string& key, bool linearizable, std::chrono::milliseconds timeout) override
    {
        return m_inner.read(key, linearizable, timeout);
    }
    base::Result<std::vector<store::Row>> scan(
        const std::string& prefix, std::size_t limit, std::chrono::milliseconds timeout) override
    {
        return m_inner.scan(prefix, limit, timeout);
    }
    base::Result<void> commit(const std::vector<store::Write>& writes, std::chrono::milliseconds timeout) override
    {
        return m_inner.commit(writes, timeout);
    }
    base::Result<void> putObject(
        const std::string& name, const std::string& content, std::chrono::milliseconds timeout) override
    {
        return m_inner.putObject(name, content, timeout);
    }
    base::Result<std::string> getObject(const std::string& name, std::chrono::milliseconds timeout) override
    {
        return m_inner.getObject(name, timeout);
    }
    base::Result<std::vector<store::ListedInstance>> listInstances(std::chrono::milliseconds timeout) override
    {
        return m_inner.listInstances(timeout);
    }

private:
    store::Platform& m_inner;
};

} // namespace buckthorncroft::tests
