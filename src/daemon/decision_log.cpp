#include "decision_log.h"

#include <fmt/format.h>
#include <map>

namespace buckthorncroft::daemon {

namespace {

    // For services with more targets, the line states only the number of rejected targets per reason.
    constexpr std::size_t maxNamedTargets = 32;

    std::string formatRejections(const config::Service& service, const routing::Decision& decision)
    {
        std::string result;
        std::map<std::string, unsigned> counts;
        for (std::size_t i = 0; i < decision.rejections.size(); ++i) {
            if (decision.rejections[i] == routing::Rejection::None)
                continue;
            const auto* reason = routing::toString(decision.rejections[i]);
            ++counts[reason];
            if (decision.rejections.size() <= maxNamedTargets)
                result += fmt::format("{}{}:{}", result.empty() ? "" : ",", service.targets[i].id, reason);
        }
        if (decision.rejections.size() <= maxNamedTargets)
            return result.empty() ? "none" : result;
        for (const auto& [reason, n] : counts)
            result += fmt::format("{}{}:{}", result.empty() ? "" : ",", reason, n);
        return result;
    }

} // namespace

void logDecision(const observe::Logger& log, const std::string& request, const config::Service& service,
    config::RequestKind kind, const char* reason, const routing::Decision& decision)
{
    if (!log.isEnabled(observe::Level::Info))
        return;
    log.write(observe::Level::Info, "decision",
        { { "request", request }, { "service", service.name }, { "kind", config::toString(kind) }, { "reason", reason },
            { "target", decision.target ? service.targets[*decision.target].id : "none" },
            { "considered", std::to_string(decision.rejections.size()) },
            { "trial", decision.isTrial ? "true" : "false" }, { "others", formatRejections(service, decision) } });
}

} // namespace buckthorncroft::daemon
