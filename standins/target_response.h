#pragma once

#include "target_state.h"

#include <buckthorncroft/config/parse.h>
#include <charconv>
#include <fmt/format.h>
#include <string_view>
#include <xxhash.h>

namespace buckthorncroft::standins {

/// Incremental digest of a body that arrives in parts; equals config::contentDigest of the complete body.
class BodyDigest {
public:
    BodyDigest()
        : m_state(XXH3_createState())
    {
        XXH3_128bits_reset(m_state);
    }
    ~BodyDigest() { XXH3_freeState(m_state); }
    BodyDigest(const BodyDigest&) = delete;
    BodyDigest& operator=(const BodyDigest&) = delete;

    void add(const void* data, std::size_t size)
    {
        XXH3_128bits_update(m_state, data, size);
        m_length += size;
    }

    void reset()
    {
        XXH3_128bits_reset(m_state);
        m_length = 0;
    }

    std::uint64_t length() const { return m_length; }

    std::string toHex() const
    {
        const auto hash = XXH3_128bits_digest(m_state);
        return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
    }

private:
    XXH3_state_t* m_state;
    std::uint64_t m_length = 0;
};

/// Returns a query parameter of a request target as a number, or 0 when it is missing or malformed.
inline std::uint64_t queryNumber(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos)
        return 0;
    auto rest = target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        if (pair.size() <= name.size() || pair.substr(0, name.size()) != name || pair[name.size()] != '=')
            continue;
        std::uint64_t value = 0;
        std::from_chars(pair.data() + name.size() + 1, pair.data() + pair.size(), value);
        return value;
    }
    return 0;
}

/// Response body, generated in parts so that a response of any size needs bounded memory. It is a JSON object that
/// repeats the request's method, path, body digest and body length, so that a caller can check that the response
/// belongs to its request. When the request asks for a size that is large enough, padding derived from method and path
/// extends the object to exactly that size, so that the caller detects bytes of another response.
class ResponseBody {
public:
    ResponseBody() = default;

    ResponseBody(const RequestSummary& request, const std::string& target, std::uint64_t bytes)
        : m_pattern(config::contentDigest(request.method + " " + request.path))
    {
        nlohmann::ordered_json head { { "target", target }, { "request_id", request.id }, { "method", request.method },
            { "path", request.path }, { "digest", request.digest }, { "length", request.length } };
        m_head = head.dump();
        const std::string_view opening = ",\"padding\":\"";
        const std::string_view closing = "\"}";
        const auto minBytes = m_head.size() - 1 + opening.size() + closing.size();
        if (bytes >= minBytes) {
            m_head.pop_back();
            m_head += opening;
            m_remainingPadding = bytes - minBytes;
            m_tail = closing;
        }
        m_size = m_head.size() + m_remainingPadding + m_tail.size();
    }

    /// Creates a body with a fixed text.
    explicit ResponseBody(std::string text)
        : m_head(std::move(text))
        , m_size(m_head.size())
    {
    }

    std::uint64_t size() const { return m_size; }

    /// Returns the next part, or an empty string at the end. Parts after the first have at most `maxBytes` bytes.
    std::string nextPart(std::size_t maxBytes)
    {
        if (!m_head.empty())
            return std::exchange(m_head, {});
        if (m_remainingPadding == 0)
            return std::exchange(m_tail, {});
        std::string part(std::min<std::uint64_t>(m_remainingPadding, maxBytes), '\0');
        for (auto& c : part)
            c = m_pattern[m_offset++ % m_pattern.size()];
        m_remainingPadding -= part.size();
        return part;
    }

private:
    std::string m_pattern;
    std::string m_head;
    std::uint64_t m_remainingPadding = 0;
    std::uint64_t m_offset = 0;
    std::string m_tail;
    std::uint64_t m_size = 0;
};

} // namespace buckthorncroft::standins
