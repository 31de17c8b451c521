#include <buckthorncroft/config/difference.h>

#include <buckthorncroft/config/parse.h>
#include <fmt/core.h>
#include <map>
#include <sstream>

namespace buckthorncroft::config {

namespace {

    /// Values by the part of the service that they belong to (`service`, `route NAME` or `target ID`), then by setting.
    using SettingsByPart = std::map<std::string, std::map<std::string, std::string>>;

    // Parses the canonical text of the service, so that settings which are added to the format later are compared too.
    SettingsByPart parseParts(Service service)
    {
        service.version = 0;
        std::istringstream text(formatService(service));
        SettingsByPart parts;
        std::string part = "service";
        std::string kind;
        for (std::string line; std::getline(text, line);) {
            const auto equals = line.find(" = ");
            if (line.starts_with("[[service.")) {
                kind = line.substr(10, line.size() - 12);
            } else if (equals != std::string::npos) {
                const auto name = line.substr(0, equals);
                const auto value = line.substr(equals + 3);
                // The first setting of a route or target is its name or id.
                if (!kind.empty()) {
                    part = kind;
                    part += " " + value;
                    kind.clear();
                }
                parts[part][name] = value;
            }
        }
        return parts;
    }

    void compareParts(const std::string& part, const std::map<std::string, std::string>& before,
        const std::map<std::string, std::string>& after, std::vector<std::string>& lines)
    {
        for (const auto& [name, value] : after) {
            const auto it = before.find(name);
            if (it == before.end() || it->second != value)
                lines.push_back(
                    fmt::format("{}: {} = {} -> {}", part, name, it == before.end() ? "" : it->second, value));
        }
    }

} // namespace

std::vector<std::string> describeDifference(const Service& before, const Service& after, std::size_t limit)
{
    const auto old = parseParts(before);
    const auto current = parseParts(after);
    std::vector<std::string> lines;
    for (const auto& [part, settings] : current) {
        const auto it = old.find(part);
        if (it == old.end())
            lines.push_back(part + ": added");
        else
            compareParts(part, it->second, settings, lines);
    }
    for (const auto& [part, settings] : old) {
        if (!current.contains(part))
            lines.push_back(part + ": removed");
    }
    if (lines.size() > limit) {
        const auto omitted = lines.size() - limit;
        lines.resize(limit);
        lines.push_back(fmt::format("and {} more", omitted));
    }
    return lines;
}

} // namespace buckthorncroft::config
