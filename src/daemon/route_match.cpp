#include "route_match.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace buckthorncroft::daemon {

namespace {

    constexpr const char* serviceHeader = "Buckthorncroft-Service";
    constexpr const char* deadlineHeader = "Buckthorncroft-Deadline-Ms";
    constexpr std::int64_t mostMilliseconds = 3'600'000;

    std::string_view view(http::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    // Decodes what a target may take for a dot or a separator; other characters cannot change the path's segments.
    std::string plainPath(std::string_view path)
    {
        std::string result;
        for (std::size_t i = 0; i < path.size(); ++i) {
            char c = path[i];
            if (c == '%' && i + 2 < path.size()) {
                const auto code = path.substr(i + 1, 2);
                if (code == "2e" || code == "2E")
                    c = '.';
                else if (code == "2f" || code == "2F" || code == "5c" || code == "5C")
                    c = '/';
                i += c == '%' ? 0 : 2;
            }
            result += c == '\\' ? '/' : c;
        }
        return result;
    }

} // namespace

std::string serviceNameOf(const http::bhttp::request_header<>& head)
{
    if (const auto named = view(head[serviceHeader]); !named.empty())
        return std::string(named);
    const auto host = view(head[http::bhttp::field::host]);
    return std::string(host.substr(0, host.find_first_of(".:")));
}

const config::Route* findRoute(const config::Service& service, const http::bhttp::request_header<>& head)
{
    const auto target = view(head.target());
    const auto path = target.substr(0, target.find('?'));
    const auto method = view(head.method_string());
    const config::Route* best = nullptr;
    for (const auto& it : service.routes) {
        const bool allowed
            = it.methods.empty() || std::find(it.methods.begin(), it.methods.end(), method) != it.methods.end();
        if (allowed && path.substr(0, it.pathPrefix.size()) == it.pathPrefix
            && (!best || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    return best;
}

bool hasDotSegments(http::beast::string_view target)
{
    const auto path = plainPath(view(target).substr(0, view(target).find('?')));
    std::size_t begin = 0;
    while (begin <= path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        const auto segment = std::string_view(path).substr(begin, end - begin);
        if (segment == "." || segment == "..")
            return true;
        begin = end + 1;
    }
    return false;
}

std::optional<std::chrono::milliseconds> callerDeadline(const http::bhttp::request_header<>& head, bool& valid)
{
    valid = true;
    const auto text = view(head[deadlineHeader]);
    if (text.empty())
        return std::nullopt;
    std::int64_t n = 0;
    const auto [place, error] = std::from_chars(text.data(), text.data() + text.size(), n);
    valid = error == std::errc() && place == text.data() + text.size() && n >= 0;
    return std::chrono::milliseconds(std::min(n, mostMilliseconds));
}

} // namespace buckthorncroft::daemon
