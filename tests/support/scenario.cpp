#include "scenario.h"

#include "instance.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace buckthorncroft::simulation {

namespace {

    const std::map<std::string, FaultKind> faultKinds { { "slow", FaultKind::Slow }, { "wrong", FaultKind::Errors },
        { "mismatched", FaultKind::Mismatched }, { "hanging", FaultKind::Hanging },
        { "bookings", FaultKind::BookingErrors }, { "flapping", FaultKind::Flapping }, { "dead", FaultKind::Dead } };

    using Metric = double (*)(const Metrics&, const std::string&);
    const std::map<std::string, Metric> metricsByName {
        { "detection_p50", [](const Metrics& m, const std::string& t) { return m.detectionTime(0.5, t); } },
        { "detection_p99", [](const Metrics& m, const std::string& t) { return m.detectionTime(0.99, t); } },
        { "false_ejections", [](const Metrics& m, const std::string&) { return double(m.falseEjections.size()); } },
        { "goodput", [](const Metrics& m, const std::string&) { return m.goodput(); } },
        { "latency_p50_ms", [](const Metrics& m, const std::string&) { return m.latency(0.5); } },
        { "latency_p99_ms", [](const Metrics& m, const std::string&) { return m.latency(0.99); } },
        { "attempts_per_request", [](const Metrics& m, const std::string&) { return m.attemptsPerRequest(); } },
        { "not_run", [](const Metrics& m, const std::string&) { return double(m.notRun); } },
        { "unknown", [](const Metrics& m, const std::string&) { return double(m.unknown); } },
        { "control_bytes", [](const Metrics& m, const std::string&) { return m.controlBytesPerSecond(); } },
        { "floor_violations", [](const Metrics& m, const std::string&) { return double(m.floorViolations); } },
        { "doubled", [](const Metrics& m, const std::string&) { return double(m.duplicateExecutions); } },
        { "wrong_answers", [](const Metrics& m, const std::string&) { return double(m.mismatchedResponses); } },
        { "false_not_run", [](const Metrics& m, const std::string&) { return double(m.falseNotRun); } },
        { "cut_off", [](const Metrics& m, const std::string&) { return double(m.interruptedRequests); } },
        { "late_work", [](const Metrics& m, const std::string&) { return double(m.lateRequests); } },
    };

    std::optional<double> parseNumber(const std::string& text)
    {
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
            return std::nullopt;
        return value;
    }

    /// A rate in requests per second, or a percentage of the capacity.
    struct Rate {
        double value = 0;
        bool isPercentage = false;
    };

    std::optional<Rate> parseRate(const std::string& text)
    {
        const bool isPercentage = text.ends_with('%');
        const auto value = parseNumber(text.substr(0, text.size() - isPercentage));
        if (!value || *value < 0)
            return std::nullopt;
        return Rate { *value, isPercentage };
    }

    /// Returns the fault of a text like `slow=5`, or nothing if the kind is unknown or the value does not suit it.
    std::optional<Fault> parseFault(const std::string& text)
    {
        const auto separator = text.find('=');
        const auto kind = faultKinds.find(text.substr(0, separator));
        if (kind == faultKinds.end())
            return std::nullopt;
        if (separator == std::string::npos)
            return Fault { kind->second, 1 };
        const auto value = parseNumber(text.substr(separator + 1));
        const bool isFraction = kind->second == FaultKind::Errors || kind->second == FaultKind::Mismatched;
        const bool hasValue = isFraction || kind->second == FaultKind::Slow || kind->second == FaultKind::Flapping;
        if (!hasValue || !value || *value <= 0 || (isFraction && *value > 1))
            return std::nullopt;
        return Fault { kind->second, *value };
    }

    bool contains(const std::vector<std::string>& list, const std::string& text)
    {
        return std::find(list.begin(), list.end(), text) != list.end();
    }

    class Parser {
    public:
        Parser(const std::string& text, const std::string& file)
        {
            m_result.scenario.file = file;
            std::istringstream lines(text);
            for (std::string line; std::getline(lines, line);) {
                ++m_line;
                std::istringstream words(line.substr(0, line.find('#')));
                m_words.clear();
                for (std::string word; words >> word;)
                    m_words.push_back(word);
                if (!m_words.empty())
                    parseLine();
            }
            if (m_result.scenario.seconds <= 0)
                reportFinding("time", "the scenario has no duration");
        }

        ParsedScenario takeResult() { return std::move(m_result); }

    private:
        void reportFinding(const std::string& key, const std::string& reason)
        {
            m_result.findings.push_back({ m_result.scenario.file, m_line, key, reason, "" });
        }

        void parseLine()
        {
            const auto verb = m_words.front();
            m_words.erase(m_words.begin());
            if (verb != "deployment" && m_deployment.services.empty())
                return reportFinding(verb, "a known deployment must be named first");
            if (verb == "deployment")
                parseDeployment();
            else if (verb == "time")
                parseTime();
            else if (verb == "expect")
                parseExpectation();
            else if (verb == "load" || verb == "fault" || verb == "cut" || verb == "restart")
                parseAction(verb);
            else
                reportFinding(verb, "unknown verb");
        }

        void parseTime()
        {
            const auto value = m_words.size() == 1 ? parseNumber(m_words[0]) : std::nullopt;
            if (!value || *value <= 0)
                return reportFinding("time", "needs a positive number of seconds");
            m_result.scenario.seconds = *value;
        }

        void parseDeployment()
        {
            if (m_words.empty() || (m_words[0] != "sprungfloor" && m_words[0] != "cymoedd"))
                return reportFinding("deployment", "must be sprungfloor or cymoedd");
            m_result.scenario.deployment = m_words[0];
            m_result.scenario.services.assign(m_words.begin() + 1, m_words.end());
            m_deployment = makeDeployment(m_words[0], m_result.scenario.services);
            if (!m_result.scenario.services.empty() && m_deployment.services.size() != m_words.size() - 1)
                reportFinding("deployment", "a service does not exist or is named twice");
        }

        void parseAction(const std::string& verb)
        {
            Action action { verb, {}, 0, 0, 0, m_line };
            for (std::size_t i = 0; i < m_words.size(); ++i) {
                auto* time = m_words[i] == "at" ? &action.startAt
                    : m_words[i] == "for"       ? &action.duration
                    : m_words[i] == "every"     ? &action.interval
                                                : nullptr;
                if (!time) {
                    action.arguments.push_back(m_words[i]);
                    continue;
                }
                const auto value = ++i < m_words.size() ? parseNumber(m_words[i]) : std::nullopt;
                if (!value || *value < 0)
                    return reportFinding(verb, "a time in seconds must follow at, for and every");
                *time = *value;
            }
            const auto problem = validate(action);
            if (!problem.empty())
                return reportFinding(verb, problem);
            m_result.scenario.actions.push_back(action);
        }

        bool isInstance(const std::string& name) const
        {
            const auto number = name.starts_with('i') ? parseNumber(name.substr(1)) : std::nullopt;
            return number && *number >= 1 && *number <= m_deployment.instances && std::floor(*number) == *number;
        }

        bool isTarget(const std::string& name) const
        {
            return std::any_of(m_deployment.services.begin(), m_deployment.services.end(), [&](const auto& service) {
                return std::any_of(service.targets.begin(), service.targets.end(),
                    [&](const auto& target) { return target.id == name; });
            });
        }

        std::string validate(const Action& action) const
        {
            const auto& arguments = action.arguments;
            std::vector<std::string> services;
            std::vector<std::string> targets;
            for (const auto& it : m_deployment.services) {
                services.push_back(it.name);
                for (const auto& target : it.targets)
                    targets.push_back(target.id);
            }
            if (action.verb == "load") {
                return arguments.size() == 2 && contains(services, arguments[0]) && parseRate(arguments[1])
                    ? ""
                    : "needs a service and a rate";
            }
            if (action.verb == "cut") {
                const auto isKnown = [&](const std::string& it) {
                    return it == "*" || isInstance(it) || contains(targets, it) || contains(m_deployment.zones, it);
                };
                return arguments.size() == 2 && isKnown(arguments[0]) && isKnown(arguments[1])
                    ? ""
                    : "needs two names, zones or *";
            }
            if (action.verb == "restart") {
                const bool known = arguments.size() == 1
                    ? arguments[0] == "instances"
                    : arguments.size() == 2 && arguments[0] == "targets" && contains(services, arguments[1]);
                return known ? "" : "needs `instances`, or `targets` and a service";
            }
            if (arguments.size() == 1 && arguments[0] == "platform-away")
                return "";
            if (arguments.size() == 2 && arguments[0] == "zone-lost")
                return contains(m_deployment.zones, arguments[1]) ? "" : "unknown zone";
            if (arguments.size() != 2 || !parseFault(arguments[0]))
                return "unknown fault, or a value that does not suit it";
            return contains(targets, arguments[1]) ? "" : "unknown target";
        }

        void parseExpectation()
        {
            Expectation it { m_words.empty() ? "" : m_words[0], "", "", 0, m_line };
            if (m_words.size() == 4) {
                it.target = m_words[1];
                m_words.erase(m_words.begin() + 1);
            }
            const auto value = m_words.size() == 3 ? parseNumber(m_words[2]) : std::nullopt;
            if (!value || !metricsByName.contains(it.metric) || (m_words[1] != "<=" && m_words[1] != ">="))
                return reportFinding("expect", "needs a known metric, <= or >=, and a number");
            if (!it.target.empty() && !isTarget(it.target))
                return reportFinding("expect", "unknown target");
            it.relation = m_words[1];
            it.value = *value;
            m_result.scenario.expectations.push_back(it);
        }

        ParsedScenario m_result;
        Deployment m_deployment;
        std::vector<std::string> m_words;
        unsigned m_line = 0;
    };

    void applyFault(Simulation& simulation, const Action& action, bool isStart)
    {
        const auto& arguments = action.arguments;
        if (arguments[0] == "platform-away") {
            simulation.claims.unavailable = isStart;
        } else if (arguments[0] == "zone-lost") {
            simulation.setZoneLost(arguments[1], isStart);
        } else {
            simulation.setFault(arguments[1], isStart ? parseFault(arguments[0]).value_or(Fault {}) : Fault {});
        }
    }

    void apply(Simulation& simulation, const Action& action, bool isStart)
    {
        const auto& arguments = action.arguments;
        if (action.verb == "fault")
            return applyFault(simulation, action, isStart);
        if (action.verb == "cut")
            return isStart ? simulation.links.cut(arguments[0], arguments[1])
                           : simulation.links.restore(arguments[0], arguments[1]);
        if (action.verb == "load") {
            const auto rate = parseRate(arguments[1]).value_or(Rate {});
            const auto unit = rate.isPercentage ? simulation.capacity(arguments[0]) / 100 : 1;
            return simulation.setRate(arguments[0], rate.value * unit);
        }
        const double now = simulation.loop.seconds();
        if (arguments[0] == "instances") {
            for (std::size_t i = 0; i < simulation.instances.size(); ++i)
                simulation.scheduleAt(
                    now + double(i) * action.interval, [&simulation, i] { simulation.restartInstance(i); });
            return;
        }
        const auto ids = simulation.targetIds(arguments[1]);
        for (std::size_t i = 0; i < ids.size(); ++i)
            simulation.scheduleAt(
                now + double(i) * action.interval, [&simulation, id = ids[i]] { simulation.restartTarget(id); });
    }

} // namespace

ParsedScenario parseScenario(const std::string& text, const std::string& file)
{
    return Parser(text, file).takeResult();
}

Metrics runScenario(const Scenario& scenario, Options options)
{
    Simulation simulation(makeDeployment(scenario.deployment, scenario.services), options);
    for (const auto& it : scenario.actions) {
        simulation.scheduleAt(it.startAt, [&simulation, &it] { apply(simulation, it, true); });
        if (it.duration > 0)
            simulation.scheduleAt(it.startAt + it.duration, [&simulation, &it] { apply(simulation, it, false); });
    }
    simulation.run(scenario.seconds);
    return simulation.metrics;
}

base::Findings checkScenario(const Scenario& scenario, const Metrics& metrics)
{
    auto expectations = scenario.expectations;
    for (const char* const it :
        { "floor_violations", "doubled", "wrong_answers", "false_not_run", "cut_off", "late_work" })
        expectations.push_back({ it, "", "<=", 0, 0 });
    expectations.push_back({ "attempts_per_request", "", "<=", 1.1, 0 });
    expectations.push_back({ "control_bytes", "", "<=", 10000, 0 });
    base::Findings result;
    for (const auto& it : expectations) {
        const double value = metricsByName.at(it.metric)(metrics, it.target);
        if (it.relation == "<=" ? value <= it.value : value >= it.value)
            continue;
        std::ostringstream reason;
        reason << value << " is not " << it.relation << ' ' << it.value;
        result.push_back(
            { scenario.file, it.line, it.metric + (it.target.empty() ? "" : " " + it.target), reason.str(), "" });
    }
    return result;
}

} // namespace buckthorncroft::simulation
