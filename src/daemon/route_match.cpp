#include "route_match.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace buckthorncroft::daemon {

namespace {

    constexpr const char* serviceHeader = "Buckthorncroft-Service";
    constexpr const char* deadlineHeader = "Buckthorncroft-Deadline-Ms";
    constexpr std::int64_t maxDeadlineMs = 3'600'000;

    std::string_view toStringView(http::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    // Decodes the encodings of dots and separators, and takes backslashes for slashes, as targets may do. Other
    // characters cannot change the segments of the path.
    std::string decodePathSeparators(std::string_view path)
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
    if (const auto serviceName = toStringView(head[serviceHeader]); !serviceName.empty())
        return std::string(serviceName);
    const auto host = toStringView(head[http::bhttp::field::host]);
    return std::string(host.substr(0, host.find_first_of(".:")));
}

const config::Route* findRoute(const config::Service& service, const http::bhttp::request_header<>& head)
{
    const auto target = toStringView(head.target());
    const auto path = target.substr(0, target.find('?'));
    const auto method = toStringView(head.method_string());
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
    const auto path = decodePathSeparators(toStringView(target).substr(0, toStringView(target).find('?')));
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

std::optional<std::chrono::milliseconds> parseCallerDeadline(const http::bhttp::request_header<>& head, bool& valid)
{
    valid = true;
    const auto text = toStringView(head[deadlineHeader]);
    if (text.empty())
        return std::nullopt;
    std::int64_t n = 0;
    const auto [parsedEnd, error] = std::from_chars(text.data(), text.data() + text.size(), n);
    valid = error == std::errc() && parsedEnd == text.data() + text.size() && n >= 0;
    return std::chrono::milliseconds(std::min(n, maxDeadlineMs));
}

} // namespace buckthorncroft::daemon
