#pragma once

#include "target_state.h"

#include <buckthorncroft/config/parse.h>
#include <charconv>
#include <fmt/format.h>
#include <string_view>
#include <xxhash.h>

namespace buckthorncroft::standins {

/// Digest over a body that arrives in parts; equal to config::contentDigest of the whole.
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

    std::string text() const
    {
        const auto hash = XXH3_128bits_digest(m_state);
        return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
    }

private:
    XXH3_state_t* m_state;
    std::uint64_t m_length = 0;
};

/// Returns the value of a query parameter of a request target as a number, or 0 when it is missing or malformed.
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

/// Body of an answer, produced in parts so that answers of any size need bounded memory. It is a JSON object that
/// repeats the request's method, path, body digest and body length, so that a caller can check that the answer is its
/// own. When the request asks for a number of bytes that is large enough, padding derived from method and path extends
/// the object to exactly that size, so that a byte of another answer shows.
class ResponseBody {
public:
    ResponseBody() = default;

    ResponseBody(const RunRecord& run, const std::string& target, std::uint64_t bytes)
        : m_pattern(config::contentDigest(run.method + " " + run.path))
    {
        nlohmann::ordered_json head { { "target", target }, { "request_id", run.id }, { "method", run.method },
            { "path", run.path }, { "digest", run.digest }, { "length", run.length } };
        m_head = head.dump();
        const std::string_view opening = ",\"padding\":\"";
        const std::string_view closing = "\"}";
        const auto least = m_head.size() - 1 + opening.size() + closing.size();
        if (bytes >= least) {
            m_head.pop_back();
            m_head += opening;
            m_padding = bytes - least;
            m_tail = closing;
        }
        m_size = m_head.size() + m_padding + m_tail.size();
    }

    /// An answer with a fixed text.
    explicit ResponseBody(std::string text)
        : m_head(std::move(text))
        , m_size(m_head.size())
    {
    }

    std::uint64_t size() const { return m_size; }

    /// Returns the next part, at most `maxBytes` long unless it is the first one; empty at the end.
    std::string next(std::size_t maxBytes)
    {
        if (!m_head.empty())
            return std::exchange(m_head, {});
        if (m_padding == 0)
            return std::exchange(m_tail, {});
        std::string part(std::min<std::uint64_t>(m_padding, maxBytes), '\0');
        for (auto& c : part)
            c = m_pattern[m_offset++ % m_pattern.size()];
        m_padding -= part.size();
        return part;
    }

private:
    std::string m_pattern;
    std::string m_head;
    std::uint64_t m_padding = 0;
    std::uint64_t m_offset = 0;
    std::string m_tail;
    std::uint64_t m_size = 0;
};

} // namespace buckthorncroft::standins
