#include <buckthorncroft/config/toml_reader.h>

#include <fmt/format.h>
#include <set>
#include <toml++/toml.h>

namespace buckthorncroft::config {

struct TomlReader::State {
    std::shared_ptr<const toml::table> document; // Owns the nodes that `table` refers to.
    const toml::table* table = nullptr;
    std::string file;
    std::string path;
    base::Findings* findings = nullptr;
    std::set<std::string> keysRead;

    const toml::node* find(const std::string& key)
    {
        keysRead.insert(key);
        return table ? table->get(key) : nullptr;
    }

    std::string keyPath(const std::string& key) const { return path.empty() ? key : path + "." + key; }

    void addFinding(
        unsigned line, const std::string& key, const std::string& reason, const std::string& suggestion) const
    {
        findings->push_back({ file, line, keyPath(key), reason, suggestion });
    }

    unsigned lineOf(const std::string& key) const
    {
        if (const auto* node = table ? table->get(key) : nullptr)
            return node->source().begin.line;
        return table ? table->source().begin.line : 0;
    }
};

TomlReader::TomlReader(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

TomlReader::TomlReader(TomlReader&&) noexcept = default;
TomlReader& TomlReader::operator=(TomlReader&&) noexcept = default;
TomlReader::~TomlReader() = default;

TomlReader TomlReader::parse(std::string_view text, const std::string& file, base::Findings& findings)
{
    auto state = std::make_unique<State>();
    state->file = file;
    state->findings = &findings;
    try {
        state->document = std::make_shared<const toml::table>(toml::parse(text, file));
        state->table = state->document.get();
    } catch (const toml::parse_error& error) {
        findings.push_back({ file, error.source().begin.line, "", "not valid TOML: " + std::string(error.description()),
            "correct the line; strings need quotes, tables stand in brackets" });
    }
    return TomlReader(std::move(state));
}

bool TomlReader::has(const std::string& key) const
{
    return m_state->table && m_state->table->contains(key);
}

std::string TomlReader::text(const std::string& key, const std::string& fallback)
{
    const auto* node = m_state->find(key);
    if (!node)
        return fallback;
    if (const auto* value = node->as_string())
        return value->get();
    report(key, "must be a string", "put the value in quotes");
    return fallback;
}

std::string TomlReader::requiredText(const std::string& key)
{
    auto value = text(key, "");
    if (!has(key))
        report(key, "is missing", "add the key");
    else if (value.empty() && m_state->table->get(key)->is_string())
        report(key, "must not be empty");
    return value;
}

std::int64_t TomlReader::integer(
    const std::string& key, std::int64_t fallback, std::int64_t minValue, std::int64_t maxValue)
{
    const auto* node = m_state->find(key);
    if (!node)
        return fallback;
    const auto* value = node->as_integer();
    if (!value) {
        report(key, "must be a whole number", "write it without quotes, decimal point or unit");
        return fallback;
    }
    if (value->get() < minValue || value->get() > maxValue) {
        report(key, fmt::format("is {}, outside of {} to {}", value->get(), minValue, maxValue));
        return fallback;
    }
    return value->get();
}

double TomlReader::number(const std::string& key, double fallback, double minValue, double maxValue)
{
    const auto* node = m_state->find(key);
    if (!node)
        return fallback;
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value) {
        report(key, "must be a number", "write it without quotes or unit");
        return fallback;
    }
    // The negated comparison also rejects NaN.
    if (!(*value >= minValue && *value <= maxValue)) {
        report(key, fmt::format("is {}, outside of {} to {}", *value, minValue, maxValue));
        return fallback;
    }
    return *value;
}

bool TomlReader::boolean(const std::string& key, bool fallback)
{
    const auto* node = m_state->find(key);
    if (!node)
        return fallback;
    if (const auto* value = node->as_boolean())
        return value->get();
    report(key, "must be true or false", "write it without quotes");
    return fallback;
}

std::vector<std::string> TomlReader::texts(const std::string& key)
{
    std::vector<std::string> result;
    const auto* node = m_state->find(key);
    if (!node)
        return result;
    const auto* array = node->as_array();
    if (!array) {
        report(key, "must be a list of strings", "write it as [\"A\", \"B\"]");
        return result;
    }
    for (const auto& it : *array) {
        if (const auto* value = it.as_string())
            result.push_back(value->get());
        else
            report(key, "must hold strings only", "put each value in quotes");
    }
    return result;
}

std::chrono::milliseconds TomlReader::milliseconds(const std::string& key, std::chrono::milliseconds fallback,
    std::chrono::milliseconds minValue, std::chrono::milliseconds maxValue)
{
    return std::chrono::milliseconds(integer(key, fallback.count(), minValue.count(), maxValue.count()));
}

TomlReader TomlReader::table(const std::string& key)
{
    const auto* node = m_state->find(key);
    auto state = std::make_unique<State>();
    state->document = m_state->document;
    state->file = m_state->file;
    state->path = m_state->keyPath(key);
    state->findings = m_state->findings;
    state->table = node ? node->as_table() : nullptr;
    if (node && !state->table)
        report(key, "must be a table", "write it as [" + m_state->keyPath(key) + "]");
    return TomlReader(std::move(state));
}

std::vector<TomlReader> TomlReader::tables(const std::string& key)
{
    std::vector<TomlReader> result;
    const auto* node = m_state->find(key);
    if (!node)
        return result;
    const auto* array = node->as_array();
    if (!array) {
        report(key, "must be a list of tables", "write each entry as [[" + m_state->keyPath(key) + "]]");
        return result;
    }
    for (const auto& it : *array) {
        if (!it.is_table()) {
            report(key, "must hold tables only", "write each entry as [[" + m_state->keyPath(key) + "]]");
            continue;
        }
        auto state = std::make_unique<State>();
        state->document = m_state->document;
        state->file = m_state->file;
        state->path = fmt::format("{}[{}]", m_state->keyPath(key), result.size());
        state->findings = m_state->findings;
        state->table = it.as_table();
        result.push_back(TomlReader(std::move(state)));
    }
    return result;
}

void TomlReader::report(const std::string& key, const std::string& reason, const std::string& suggestion)
{
    m_state->addFinding(m_state->lineOf(key), key, reason, suggestion);
}

void TomlReader::reportUnknownKeys()
{
    if (!m_state->table)
        return;
    for (const auto& [key, node] : *m_state->table) {
        const std::string name(key.str());
        if (!m_state->keysRead.count(name))
            m_state->addFinding(
                node.source().begin.line, name, "is not a known key", "check the spelling or remove it");
    }
}

void TomlReader::setPath(const std::string& path)
{
    m_state->path = path;
}

} // namespace buckthorncroft::config
