/// Open-loop load generator: sends several request streams to entry instances and checks every response.
#include "load_runner.h"

#include <boost/program_options.hpp>
#include <fstream>

namespace {

using namespace buckthorncroft;
using namespace buckthorncroft::load;
namespace options = boost::program_options;

constexpr int exitSuccess = 0;
constexpr int exitWrongResponse = 1;
constexpr int exitInvalidOptions = 2;

struct CommandLine {
    std::vector<std::string> streams;
    std::vector<std::string> entries;
    std::vector<std::string> readyEndpoints;
    double durationSeconds = 10;
    std::int64_t deadlineMs = 2000;
    bool retryUnknown = false;
    std::uint64_t seed = 1;
    std::string keyPrefix;
    std::string jsonFile;
};

options::options_description makeOptionsDescription(CommandLine& line)
{
    options::options_description description("buckthorncroft-load options");
    const auto list = [](auto& value) { return options::value(&value)->composing(); };
    const auto scalar = [](auto& value) { return options::value(&value)->default_value(value); };
    description.add_options()("help", "print this help and exit");
    description.add_options()(
        "stream", list(line.streams), "service:METHOD:path:rate_per_s[:body_bytes][:keyed]; repeatable");
    description.add_options()("entry", list(line.entries), "IP:port of an entry instance; repeatable");
    description.add_options()(
        "ready", list(line.readyEndpoints), "IP:port that serves /ready, one for each --entry, in the same order");
    description.add_options()(
        "duration", scalar(line.durationSeconds), "time during which requests are started, in seconds");
    description.add_options()(
        "deadline-ms", scalar(line.deadlineMs), "caller's deadline in milliseconds; 0 sends no deadline");
    description.add_options()("retry-unknown", options::bool_switch(&line.retryUnknown),
        "retry keyed requests with the same key through another entry when their outcome is unknown");
    description.add_options()(
        "seed", scalar(line.seed), "seed for arrival times, the choice of entries and request bodies");
    description.add_options()(
        "key-prefix", scalar(line.keyPrefix), "prefix of idempotency keys; derived from the current time when empty");
    description.add_options()("json", scalar(line.jsonFile), "file to which the results are written as JSON");
    return description;
}

std::optional<tcp::endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos || !load::detail::parseNumber(text.substr(colon + 1), port) || port == 0)
        return std::nullopt;
    error_code ec;
    const auto address = asio::ip::make_address(text.substr(0, colon), ec);
    return ec ? std::nullopt : std::optional<tcp::endpoint>(tcp::endpoint(address, port));
}

template <typename Item, typename Parse>
void parseAll(const std::string& option, const std::vector<std::string>& texts, Parse parse, std::vector<Item>& items,
    std::vector<std::string>& problems)
{
    for (const auto& text : texts) {
        auto item = parse(text);
        if (item)
            items.push_back(std::move(*item));
        else
            problems.push_back(fmt::format("--{} {}: invalid value", option, text));
    }
}

LoadOptions makeOptions(const CommandLine& line, const base::Clock& clock, std::vector<std::string>& problems)
{
    LoadOptions result;
    parseAll("stream", line.streams, parseStream, result.streams, problems);
    parseAll("entry", line.entries, parseEndpoint, result.entries, problems);
    parseAll("ready", line.readyEndpoints, parseEndpoint, result.readyEndpoints, problems);
    if (line.streams.empty() || line.entries.empty())
        problems.emplace_back("at least one --stream and one --entry are required");
    if (!line.readyEndpoints.empty() && line.readyEndpoints.size() != line.entries.size())
        problems.emplace_back("--ready must be given once for each --entry");
    if (!(line.durationSeconds > 0) || line.deadlineMs < 0)
        problems.emplace_back("--duration must be greater than 0 and --deadline-ms must not be negative");
    result.duration = std::chrono::duration<double>(line.durationSeconds);
    result.deadline = milliseconds(line.deadlineMs);
    result.retryUnknown = line.retryUnknown;
    result.seed = line.seed;
    result.keyPrefix = line.keyPrefix;
    if (result.keyPrefix.empty())
        result.keyPrefix = fmt::format("load-{}", clock.wallNow().time_since_epoch().count());
    return result;
}

bool writeJson(const std::string& file, const std::vector<StreamSpec>& specs, std::vector<StreamStats>& stats)
{
    nlohmann::json document { { "streams", nlohmann::json::array() } };
    OutcomeCounts attempts {};
    for (std::size_t it = 0; it < specs.size(); ++it) {
        document["streams"].push_back(toJson(specs[it], stats[it]));
        for (std::size_t outcome = 0; outcome < attempts.size(); ++outcome)
            attempts[outcome] += stats[it].attemptOutcomes[outcome];
    }
    for (std::size_t outcome = 0; outcome < attempts.size(); ++outcome)
        document["attempts"][outcomeNames[outcome]] = attempts[outcome];
    std::ofstream out(file);
    out << document.dump(2) << "\n";
    return static_cast<bool>(out.flush());
}

int reportProblems(const std::vector<std::string>& problems)
{
    for (const auto& it : problems)
        std::cerr << fmt::format("level=error event=options reason=\"{}\"\n", it);
    return exitInvalidOptions;
}

int run(const CommandLine& line)
{
    const base::SystemClock clock;
    std::vector<std::string> problems;
    const auto loadOptions = makeOptions(line, clock, problems);
    if (!problems.empty())
        return reportProblems(problems);
    asio::io_context context(1);
    LoadRunner runner(context, loadOptions, clock);
    runner.start();
    context.run();
    std::cout << fmt::format("seed {}, {:.0f} s\n", line.seed, line.durationSeconds)
              << formatTable(loadOptions.streams, runner.stats()) << formatTotals(runner.stats()) << "\n"
              << std::flush;
    if (!line.jsonFile.empty() && !writeJson(line.jsonFile, loadOptions.streams, runner.stats()))
        return reportProblems({ fmt::format("--json {}: cannot write the file", line.jsonFile) });
    return runner.wrongResponses() > 0 ? exitWrongResponse : exitSuccess;
}

} // namespace

int main(int argc, char** argv)
{
    CommandLine line;
    const auto description = makeOptionsDescription(line);
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") != 0) {
            std::cout << description;
            return exitSuccess;
        }
        return run(line);
    } catch (const std::exception& error) {
        return reportProblems({ error.what() });
    }
}
