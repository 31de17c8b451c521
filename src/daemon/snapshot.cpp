#include <buckthorncroft/daemon/snapshot.h>

#include <algorithm>

namespace buckthorncroft::daemon {

const ServiceSnapshot* Snapshot::find(std::string_view serviceName) const
{
    const auto it = std::lower_bound(services.begin(), services.end(), serviceName,
        [](const ServiceSnapshot& entry, std::string_view name) { return entry.service->name < name; });
    return it != services.end() && it->service->name == serviceName ? &*it : nullptr;
}

std::shared_ptr<const Snapshot> makeSnapshot(const config::Configuration& configuration, unsigned liveInstances)
{
    auto result = std::make_shared<Snapshot>();
    result->changeNumber = configuration.changeNumber;
    result->liveInstances = liveInstances;
    for (const auto& it : configuration.services) {
        ServiceSnapshot entry { std::make_shared<const config::Service>(it), {} };
        for (const auto& target : it.targets) {
            health::TargetView view;
            view.draining = target.draining;
            entry.targets.push_back(view);
        }
        result->services.push_back(std::move(entry));
    }
    std::sort(result->services.begin(), result->services.end(),
        [](const ServiceSnapshot& a, const ServiceSnapshot& b) { return a.service->name < b.service->name; });
    return result;
}

} // namespace buckthorncroft::daemon
