#include "routes_transfer.h"

#include <algorithm>
#include <limits>

namespace buckthorncroft::gateway {

namespace {

    using std::chrono::milliseconds;

    // After this time without a new piece, the missing ones are requested from another instance.
    constexpr milliseconds requestInterval { 150 };

    // Interval after this many requests, when the version may exist on no reachable instance.
    constexpr milliseconds maxRequestInterval { 1000 };
    constexpr std::size_t maxFastRequests = 10;

    // An incomplete version without progress for this long no longer keeps other versions from being assembled.
    constexpr milliseconds assemblyTimeout { 1000 };

    // Bounds the datagram of a request.
    constexpr int maxRequestedPieces = 256;

    // Bounds the memory and the delay of the send queue. Requests beyond it are ignored; the sender asks another
    // instance.
    constexpr std::size_t maxQueuedBytes = 4 * RoutesTransfer::maxDocumentBytes;
    constexpr std::size_t maxQueuedBytesOfRequests = 64'000;

    constexpr double maxBurstBytes = 20'000;

    std::size_t piecesOf(std::size_t bytes)
    {
        return (bytes + RoutesTransfer::pieceBytes - 1) / RoutesTransfer::pieceBytes;
    }

} // namespace

RoutesTransfer::RoutesTransfer(const base::Clock& clock, PeerGroup& peers)
    : m_clock(clock)
    , m_peers(peers)
    , m_allowance(maxBurstBytes)
    , m_allowanceAt(clock.now())
{
}

void RoutesTransfer::setCurrent(RoutesDocument document)
{
    if (document.version <= m_current.version)
        return;
    m_current = std::move(document);
    if (m_assembly.version <= m_current.version)
        m_assembly = {};
    if (m_wantedVersion <= m_current.version) {
        m_wantedVersion = 0;
        m_holders.clear();
        m_requestAt = base::SteadyTime::max();
    }
}

void RoutesTransfer::distribute()
{
    if (m_current.bytes.size() > maxDocumentBytes)
        return;
    auto to = children();
    // The first member passes the pieces on to those that are not below this instance.
    const auto root = m_peers.zoneTop(rankingKey, 1);
    if (!root.empty() && root.front() != m_peers.self())
        to.insert(to.begin(), root.front());
    for (std::size_t n = 0; n < pieceCount(m_current.version); ++n) {
        for (const auto& it : to)
            enqueue(it, *findPiece(m_current.version, n));
    }
    sendQueued();
}

void RoutesTransfer::want(std::uint64_t version)
{
    if (version <= m_wantedVersion || version <= m_current.version || version == m_rejectedVersion)
        return;
    m_wantedVersion = version;
    m_holders.clear();
    m_requestCount = 0;
    m_requestAt = m_clock.now() + requestInterval;
}

void RoutesTransfer::reject(std::uint64_t version)
{
    m_rejectedVersion = version;
    if (m_wantedVersion == version)
        m_wantedVersion = 0;
}

std::optional<RoutesDocument> RoutesTransfer::handle(const wire::proto::PeerDatagram& datagram)
{
    const auto& sender = datagram.sender();
    if (m_wantedVersion != 0 && datagram.route_version() >= m_wantedVersion && m_peers.isInZone(sender))
        m_holders.insert(sender);
    if (datagram.has_routes_request())
        handleRequest(sender, datagram.routes_request());
    std::vector<std::string> to;
    for (const auto& it : datagram.routes_pieces()) {
        if (!addPiece(it))
            continue;
        if (to.empty())
            to = children();
        for (const auto& child : to) {
            if (child != sender)
                enqueue(child, it);
        }
    }
    sendQueued();
    if (m_assembly.version == 0 || m_assembly.received < m_assembly.pieces.size())
        return std::nullopt;
    RoutesDocument result { m_assembly.version, {} };
    for (const auto& it : m_assembly.pieces)
        result.bytes += it;
    m_assembly = {};
    return result;
}

// Returns whether the piece is valid and new.
bool RoutesTransfer::addPiece(const wire::proto::RoutesPiece& piece)
{
    const auto now = m_clock.now();
    constexpr auto maxCount = maxDocumentBytes / pieceBytes + 1;
    if (piece.version() <= m_current.version || piece.version() == m_rejectedVersion || piece.count() == 0
        || piece.count() > maxCount || piece.index() >= piece.count() || piece.data().empty()
        || piece.data().size() > pieceBytes)
        return false;
    const bool isAbandoned = now - m_lastProgressAt > assemblyTimeout;
    if (piece.version() > m_assembly.version || (piece.version() < m_assembly.version && isAbandoned))
        m_assembly = { piece.version(), std::vector<std::string>(piece.count()), 0 };
    if (piece.version() != m_assembly.version || piece.count() != m_assembly.pieces.size())
        return false;
    auto& data = m_assembly.pieces[piece.index()];
    if (!data.empty())
        return false;
    data = piece.data();
    ++m_assembly.received;
    m_lastProgressAt = now;
    m_requestAt = now + requestInterval;
    return true;
}

void RoutesTransfer::handleRequest(const std::string& sender, const wire::proto::RoutesRequest& request)
{
    // Newer routes in force answer a request for an older version.
    const auto version = request.version() <= m_current.version ? m_current.version : request.version();
    const auto count = pieceCount(version);
    if (count == 0 || !m_peers.isInZone(sender) || m_queuedBytes > maxQueuedBytesOfRequests)
        return;
    std::vector<std::size_t> indexes(request.indexes().begin(), request.indexes().end());
    if (indexes.empty() || version != request.version()) {
        indexes.clear();
        for (std::size_t n = 0; n < count; ++n)
            indexes.push_back(n);
    }
    if (indexes.size() > count)
        return;
    for (const auto it : indexes) {
        if (auto piece = findPiece(version, it))
            enqueue(sender, std::move(*piece));
    }
}

std::size_t RoutesTransfer::pieceCount(std::uint64_t version) const
{
    if (version == 0)
        return 0;
    if (version == m_current.version)
        return m_current.bytes.size() > maxDocumentBytes ? 0 : piecesOf(m_current.bytes.size());
    return version == m_assembly.version ? m_assembly.pieces.size() : 0;
}

std::optional<wire::proto::RoutesPiece> RoutesTransfer::findPiece(std::uint64_t version, std::size_t index) const
{
    if (index >= pieceCount(version))
        return std::nullopt;
    const auto data = version == m_current.version ? m_current.bytes.substr(index * pieceBytes, pieceBytes)
                                                   : m_assembly.pieces[index];
    if (data.empty())
        return std::nullopt;
    wire::proto::RoutesPiece result;
    result.set_version(version);
    result.set_index(static_cast<std::uint32_t>(index));
    result.set_count(static_cast<std::uint32_t>(pieceCount(version)));
    result.set_data(data);
    return result;
}

void RoutesTransfer::enqueue(const std::string& to, wire::proto::RoutesPiece piece)
{
    const auto size = piece.data().size();
    if (m_queuedBytes + size > maxQueuedBytes)
        return;
    m_queuedBytes += size;
    m_queue.push_back({ to, std::move(piece) });
}

// Returns the members below this instance in the tree of its zone.
std::vector<std::string> RoutesTransfer::children()
{
    const auto members = m_peers.zoneTop(rankingKey, std::numeric_limits<std::size_t>::max());
    const auto self = std::find(members.begin(), members.end(), m_peers.self());
    std::vector<std::string> result;
    const auto position = static_cast<std::size_t>(self - members.begin());
    for (auto n = fanOut * position + 1; n <= fanOut * (position + 1) && n < members.size(); ++n)
        result.push_back(members[n]);
    return result;
}

void RoutesTransfer::sendQueued()
{
    const auto now = m_clock.now();
    m_allowance += std::chrono::duration<double>(now - m_allowanceAt).count() * sendRate;
    m_allowance = std::min(m_allowance, maxBurstBytes);
    m_allowanceAt = now;
    while (!m_queue.empty() && m_allowance > 0) {
        auto message = m_peers.makeMessage();
        const auto size = m_queue.front().piece.data().size();
        *message.add_routes_pieces() = std::move(m_queue.front().piece);
        m_peers.send(m_queue.front().to, message);
        m_queue.pop_front();
        m_queuedBytes -= size;
        m_allowance -= static_cast<double>(size);
    }
}

void RoutesTransfer::tick()
{
    sendQueued();
    if (m_clock.now() >= m_requestAt)
        requestMissing();
}

void RoutesTransfer::requestMissing()
{
    const auto version = std::max(m_wantedVersion, m_assembly.version);
    if (version <= m_current.version) {
        m_requestAt = base::SteadyTime::max();
        return;
    }
    const auto now = m_clock.now();
    const auto idleTime = now - m_lastProgressAt;
    const bool isFast = m_requestCount < maxFastRequests || idleTime < maxRequestInterval;
    m_requestAt = now + (isFast ? requestInterval : maxRequestInterval);
    // A source that sends pieces is kept.
    if (idleTime >= 2 * requestInterval)
        ++m_requestCount;
    const auto source = chooseSource();
    if (!source)
        return;
    auto message = m_peers.makeMessage();
    auto& request = *message.mutable_routes_request();
    request.set_version(version);
    if (version == m_assembly.version) {
        for (std::size_t n = 0; n < m_assembly.pieces.size() && request.indexes_size() < maxRequestedPieces; ++n) {
            if (m_assembly.pieces[n].empty())
                request.add_indexes(static_cast<std::uint32_t>(n));
        }
    }
    m_peers.send(*source, message);
}

// Prefers members that announced the version, but after a request without an answer asks any member in turn, because
// those that announced it may be overloaded and others may have some pieces. Each instance starts at another one, which
// spreads the load.
std::optional<std::string> RoutesTransfer::chooseSource()
{
    std::vector<std::string> candidates(m_holders.begin(), m_holders.end());
    if (candidates.empty() || m_requestCount % 2 != 0)
        candidates = m_peers.zoneTop(rankingKey, std::numeric_limits<std::size_t>::max());
    std::erase(candidates, m_peers.self());
    if (candidates.empty())
        return std::nullopt;
    return candidates[(std::hash<std::string> {}(m_peers.self()) + m_requestCount) % candidates.size()];
}

} // namespace buckthorncroft::gateway
