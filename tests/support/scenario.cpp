#include "scenario.h"

#include "instance.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace buckthorncroft::simulation {

namespace {

    const std::map<std::string, FaultKind> faultKinds { { "slow", FaultKind::Slow }, { "wrong", FaultKind::Wrong },
        { "mismatched", FaultKind::Mismatched }, { "hanging", FaultKind::Hanging }, { "bookings", FaultKind::Bookings },
        { "flapping", FaultKind::Flapping }, { "dead", FaultKind::Dead } };

    using Metric = double (*)(const Metrics&, const std::string&);
    const std::map<std::string, Metric> metricNames {
        { "detection_p50", [](const Metrics& m, const std::string& t) { return m.detection(0.5, t); } },
        { "detection_p99", [](const Metrics& m, const std::string& t) { return m.detection(0.99, t); } },
        { "false_ejections", [](const Metrics& m, const std::string&) { return double(m.falseEjections.size()); } },
        { "goodput", [](const Metrics& m, const std::string&) { return m.goodput(); } },
        { "latency_p50_ms", [](const Metrics& m, const std::string&) { return m.latency(0.5); } },
        { "latency_p99_ms", [](const Metrics& m, const std::string&) { return m.latency(0.99); } },
        { "attempts_per_request", [](const Metrics& m, const std::string&) { return m.attemptsPerRequest(); } },
        { "not_run", [](const Metrics& m, const std::string&) { return double(m.notRun); } },
        { "unknown", [](const Metrics& m, const std::string&) { return double(m.unknown); } },
        { "control_bytes", [](const Metrics& m, const std::string&) { return m.bytesPerNodeSecond(); } },
        { "floor_violations", [](const Metrics& m, const std::string&) { return double(m.floorViolations); } },
        { "doubled", [](const Metrics& m, const std::string&) { return double(m.doubled); } },
        { "wrong_answers", [](const Metrics& m, const std::string&) { return double(m.wrongResponses); } },
        { "false_not_run", [](const Metrics& m, const std::string&) { return double(m.falseNotRun); } },
        { "cut_off", [](const Metrics& m, const std::string&) { return double(m.cutOff); } },
        { "late_work", [](const Metrics& m, const std::string&) { return double(m.lateWork); } },
    };

    std::optional<double> number(const std::string& text)
    {
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
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
                report("time", "the scenario has no duration");
        }

        ParsedScenario take() { return std::move(m_result); }

    private:
        void report(const std::string& key, const std::string& reason)
        {
            m_result.findings.push_back({ m_result.scenario.file, m_line, key, reason, "" });
        }

        void parseLine()
        {
            const auto verb = m_words.front();
            m_words.erase(m_words.begin());
            if (verb != "deployment" && m_deployment.services.empty())
                return report(verb, "a known deployment must be named first");
            if (verb == "deployment")
                parseDeployment();
            else if (verb == "time")
                m_result.scenario.seconds = m_words.size() == 1 ? number(m_words[0]).value_or(0) : 0;
            else if (verb == "expect")
                parseExpectation();
            else if (verb == "load" || verb == "fault" || verb == "cut" || verb == "restart")
                parseAction(verb);
            else
                report(verb, "unknown verb");
        }

        void parseDeployment()
        {
            if (m_words.empty() || (m_words[0] != "sprungfloor" && m_words[0] != "cymoedd"))
                return report("deployment", "must be sprungfloor or cymoedd");
            m_result.scenario.deployment = m_words[0];
            m_result.scenario.services.assign(m_words.begin() + 1, m_words.end());
            m_deployment = makeDeployment(m_words[0], m_result.scenario.services);
            if (!m_result.scenario.services.empty() && m_deployment.services.size() != m_words.size() - 1)
                report("deployment", "a service does not exist or is named twice");
        }

        void parseAction(const std::string& verb)
        {
            Action action { verb, {}, 0, 0, 0, m_line };
            for (std::size_t i = 0; i < m_words.size(); ++i) {
                auto* time = m_words[i] == "at" ? &action.at
                    : m_words[i] == "for"       ? &action.lasts
                    : m_words[i] == "every"     ? &action.every
                                                : nullptr;
                if (!time) {
                    action.words.push_back(m_words[i]);
                    continue;
                }
                const auto value = ++i < m_words.size() ? number(m_words[i]) : std::nullopt;
                if (!value || *value < 0)
                    return report(verb, "a time in seconds must follow at, for and every");
                *time = *value;
            }
            const auto problem = check(action);
            if (!problem.empty())
                return report(verb, problem);
            m_result.scenario.actions.push_back(action);
        }

        std::string check(const Action& action) const
        {
            const auto& words = action.words;
            std::vector<std::string> services;
            std::vector<std::string> targets;
            for (const auto& it : m_deployment.services) {
                services.push_back(it.name);
                for (const auto& target : it.targets)
                    targets.push_back(target.id);
            }
            if (action.verb == "load") {
                const auto rate = words.size() == 2 ? words[1].substr(0, words[1].find('%')) : "";
                return words.size() == 2 && contains(services, words[0]) && number(rate) ? ""
                                                                                         : "needs a service and a rate";
            }
            if (action.verb == "cut")
                return words.size() == 2 ? "" : "needs two places";
            if (action.verb == "restart") {
                const bool known = words.size() == 1
                    ? words[0] == "instances"
                    : words.size() == 2 && words[0] == "targets" && contains(services, words[1]);
                return known ? "" : "needs `instances`, or `targets` and a service";
            }
            if (words.size() == 1 && words[0] == "platform-away")
                return "";
            if (words.size() == 2 && words[0] == "zone-lost")
                return contains(m_deployment.zones, words[1]) ? "" : "unknown zone";
            if (words.size() != 2 || !faultKinds.contains(words[0].substr(0, words[0].find('='))))
                return "unknown fault";
            return contains(targets, words[1]) ? "" : "unknown target";
        }

        void parseExpectation()
        {
            Expectation it { m_words.empty() ? "" : m_words[0], "", "", 0, m_line };
            if (m_words.size() == 4) {
                it.target = m_words[1];
                m_words.erase(m_words.begin() + 1);
            }
            const auto value = m_words.size() == 3 ? number(m_words[2]) : std::nullopt;
            if (!value || !metricNames.contains(it.metric) || (m_words[1] != "<=" && m_words[1] != ">="))
                return report("expect", "needs a known metric, <= or >=, and a number");
            it.relation = m_words[1];
            it.value = *value;
            m_result.scenario.expectations.push_back(it);
        }

        ParsedScenario m_result;
        Deployment m_deployment;
        std::vector<std::string> m_words;
        unsigned m_line = 0;
    };

    void applyFault(Simulation& world, const Action& action, bool begins)
    {
        const auto& words = action.words;
        if (words[0] == "platform-away") {
            world.claims.away = begins;
        } else if (words[0] == "zone-lost") {
            world.setZoneLost(words[1], begins);
        } else {
            const auto separator = words[0].find('=');
            const auto value = separator == std::string::npos ? 1 : number(words[0].substr(separator + 1)).value_or(1);
            const Fault fault { faultKinds.at(words[0].substr(0, separator)), value };
            world.setFault(words[1], begins ? fault : Fault {});
        }
    }

    void apply(Simulation& world, const Action& action, bool begins)
    {
        const auto& words = action.words;
        if (action.verb == "fault")
            return applyFault(world, action, begins);
        if (action.verb == "cut")
            return begins ? world.links.cut(words[0], words[1]) : world.links.restore(words[0], words[1]);
        if (action.verb == "load") {
            const auto percent = words[1].find('%');
            const auto value = number(words[1].substr(0, percent)).value_or(0);
            return world.setRate(
                words[0], percent == std::string::npos ? value : value / 100 * world.capacity(words[0]));
        }
        const double now = world.loop.seconds();
        if (words[0] == "instances") {
            for (std::size_t i = 0; i < world.instances.size(); ++i)
                world.at(now + double(i) * action.every, [&world, i] { world.restartInstance(i); });
            return;
        }
        const auto ids = world.targetIds(words[1]);
        for (std::size_t i = 0; i < ids.size(); ++i)
            world.at(now + double(i) * action.every, [&world, id = ids[i]] { world.restartTarget(id); });
    }

} // namespace

ParsedScenario parseScenario(const std::string& text, const std::string& file)
{
    return Parser(text, file).take();
}

Metrics runScenario(const Scenario& scenario, Options options)
{
    Simulation world(makeDeployment(scenario.deployment, scenario.services), options);
    for (const auto& it : scenario.actions) {
        world.at(it.at, [&world, &it] { apply(world, it, true); });
        if (it.lasts > 0)
            world.at(it.at + it.lasts, [&world, &it] { apply(world, it, false); });
    }
    world.run(scenario.seconds);
    return world.metrics;
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
        const double value = metricNames.at(it.metric)(metrics, it.target);
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
