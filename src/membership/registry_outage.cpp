#include <buckthorncroft/membership/registry_outage.h>

namespace buckthorncroft::membership {

void RegistryOutageDetector::recordReadFailure()
{
    m_hasReadFailed = true;
    m_pendingReadSince.reset();
}

void RegistryOutageDetector::recordReadSuccess(base::SteadyTime now)
{
    recordResponse(now);
    m_pendingReadSince.reset();
}

void RegistryOutageDetector::recordRelayedResponse(base::SteadyTime now)
{
    recordResponse(now);
}

void RegistryOutageDetector::recordResponse(base::SteadyTime now)
{
    const bool isReadOverdue = m_pendingReadSince && now - *m_pendingReadSince > overdueReadTime;
    const bool hadNoResponse = m_lastResponseAt && now - *m_lastResponseAt > minOutage;
    if (hadNoResponse && (m_hasReadFailed || isReadOverdue))
        m_lastOutageEnd = now;
    m_lastResponseAt = now;
    m_hasReadFailed = false;
}

} // namespace buckthorncroft::membership
