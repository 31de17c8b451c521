#include <buckthorncroft/routing/route_table.h>

#include <algorithm>
#include <cctype>
#include <numeric>

namespace buckthorncroft::routing {

std::string normalizedHost(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    std::string result(host.substr(0, hasPort ? colon : host.size()));
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) { return std::tolower(c); });
    return result;
}

RouteTable::RouteTable(RouteSet routes)
    : m_routeSet(std::move(routes))
    , m_keys(collectKeys(m_routeSet.workspaces))
{
    for (auto& it : m_routeSet.workspaces)
        it.keys = {};
    for (const auto& it : m_routeSet.routes)
        m_byHost[normalizedHost(it.host)].push_back(&it);
    for (auto& [host, hostRoutes] : m_byHost) {
        std::stable_sort(hostRoutes.begin(), hostRoutes.end(),
            [](const HostRoute* a, const HostRoute* b) { return a->prefix.size() > b->prefix.size(); });
    }
}

const HostRoute* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto entry = m_byHost.find(normalizedHost(host));
    if (entry == m_byHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const auto* it : entry->second) {
        if (path.starts_with(it->prefix))
            return it;
    }
    return nullptr;
}

const Workspace* RouteTable::findWorkspace(const KeyDigest& key) const
{
    const auto index = m_keys.find(key);
    return index ? &m_routeSet.workspaces[*index] : nullptr;
}

std::vector<KeyOwner> collectKeys(const std::vector<Workspace>& workspaces)
{
    std::vector<KeyOwner> result;
    for (std::uint32_t n = 0; n < workspaces.size(); ++n) {
        for (const auto& it : workspaces[n].keys)
            result.push_back({ it, n });
    }
    return result;
}

const std::string& chooseService(const HostRoute& route, double draw)
{
    const double total = std::accumulate(route.services.begin(), route.services.end(), 0.0,
        [](double sum, const WeightedService& it) { return sum + it.weight; });
    double position = draw * total;
    for (const auto& it : route.services) {
        if (position < it.weight)
            return it.service;
        position -= it.weight;
    }
    return route.services.back().service;
}

} // namespace buckthorncroft::routing
