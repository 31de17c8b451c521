#include <buckthorncroft/config/questionnaire.h>

#include <algorithm>
#include <buckthorncroft/config/toml_reader.h>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace buckthorncroft::config {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr milliseconds maxResponseDeadline { 3'600'000 };
    constexpr std::int64_t maxFileMegabytes = 1'000'000;
    constexpr unsigned maxRequestsAtOnce = 10'000;
    constexpr unsigned maxConnections = 100'000;
    constexpr double minEjectableTargets = 1; // The floor must permit the ejection of at least this many targets.

    CostlierMistake readCostlierMistake(TomlReader& reader)
    {
        const auto answer = reader.requiredText("which_hurts_more");
        if (answer == "a slow target kept")
            return CostlierMistake::SlowTargetKept;
        if (answer == "a healthy target removed")
            return CostlierMistake::HealthyTargetRemoved;
        if (!answer.empty() && answer != "both the same")
            reader.report("which_hurts_more", fmt::format("is \"{}\"", answer),
                "answer \"a slow target kept\", \"a healthy target removed\" or \"both the same\"");
        return CostlierMistake::Both;
    }

    bool readYesOrNo(TomlReader& reader, const std::string& key, const std::string& fallback)
    {
        const auto answer = fallback.empty() ? reader.requiredText(key) : reader.text(key, fallback);
        if (!answer.empty() && answer != "yes" && answer != "no")
            reader.report(key, fmt::format("is \"{}\"", answer), "answer \"yes\" or \"no\"");
        return answer == "yes";
    }

    void checkRequest(TomlReader& reader, const RequestAnswers& request, const Answers& answers)
    {
        if (request.mayRunAgain && request.repeatsBillingOrShipping)
            reader.report("may_this_request_run_again",
                "the request may run again, but running it twice bills or ships twice",
                "answer \"no\" here, or \"no\" to does_running_it_twice_bill_or_ship_twice");
        if (request.mayRunAgain && request.largestFileMegabytes)
            reader.report("largest_file_megabytes", "a request with files is sent once, because its body is not stored",
                "answer \"no\" to may_this_request_run_again");
        const auto networkRoundTrip = 2 * (answers.clientDelay + answers.zoneDelay);
        if (request.responseDeadline.count() && request.responseDeadline <= networkRoundTrip)
            reader.report("answer_within_ms",
                fmt::format("the network alone takes {} ms, there and back between caller, instance and target",
                    networkRoundTrip.count()),
                "allow more time, or correct the delays at the top");
    }

    RequestAnswers readRequest(TomlReader& reader, const std::string& service, const Answers& answers)
    {
        RequestAnswers request;
        request.name = reader.requiredText("name");
        reader.setPath(fmt::format("service.{}.request.{}", service, request.name));
        request.path = reader.requiredText("path");
        if (!request.path.empty() && request.path.front() != '/')
            reader.report("path", "must start with /");
        request.methods = reader.texts("methods");
        if (request.methods.empty())
            reader.report("methods", "is missing or empty", "list the methods, for example [\"GET\"]");
        request.mayRunAgain = readYesOrNo(reader, "may_this_request_run_again", "");
        request.repeatsBillingOrShipping = readYesOrNo(reader, "does_running_it_twice_bill_or_ship_twice", "");
        request.callersSendIdempotencyKey = readYesOrNo(reader, "do_callers_send_an_idempotency_key", "no");
        request.largestFileMegabytes
            = static_cast<std::uint64_t>(reader.integer("largest_file_megabytes", 0, 0, maxFileMegabytes));
        request.responseDeadline
            = reader.milliseconds("answer_within_ms", milliseconds(0), milliseconds(1), maxResponseDeadline);
        if (!reader.has("answer_within_ms"))
            reader.report("answer_within_ms", "is missing", "say how late an answer is still of use");
        checkRequest(reader, request, answers);
        reader.reportUnknownKeys();
        return request;
    }

    TargetAnswers readTarget(TomlReader& reader, const std::string& service, const Answers& answers)
    {
        TargetAnswers target;
        target.name = reader.requiredText("name");
        reader.setPath(fmt::format("service.{}.target.{}", service, target.name));
        target.host = reader.requiredText("ip");
        target.port = static_cast<std::uint16_t>(reader.integer("port", 0, 1, 65535));
        if (!reader.has("port"))
            reader.report("port", "is missing", "add the port that the target listens on");
        target.zone = reader.requiredText("zone");
        if (!target.zone.empty()
            && std::find(answers.zones.begin(), answers.zones.end(), target.zone) == answers.zones.end())
            reader.report("zone", fmt::format("\"{}\" is not one of the availability zones", target.zone),
                "correct it, or add it to availability_zones");
        reader.reportUnknownKeys();
        return target;
    }

    template <typename Items> void reportDuplicates(TomlReader& reader, const std::string& key, const Items& items)
    {
        std::set<std::string> seen;
        for (const auto& it : items) {
            if (!seen.insert(it.name).second)
                reader.report(key, fmt::format("\"{}\" appears twice", it.name), "give each its own name");
        }
    }

    void checkService(TomlReader& reader, const ServiceAnswers& service)
    {
        if (service.requests.empty())
            reader.report("request", "the service has no request", "add a [[service.request]]");
        if (service.targets.empty()) {
            reader.report("target", "the service has no target", "add a [[service.target]]");
            return;
        }
        reportDuplicates(reader, "request", service.requests);
        reportDuplicates(reader, "target", service.targets);
        const auto n = static_cast<double>(service.targets.size());
        if (n * (100 - service.mustStayUpPercent) < 100 * minEjectableTargets)
            reader.report("what_must_stay_up_percent",
                fmt::format("with {} targets and {} % no ejection is possible, not even of an unhealthy target",
                    service.targets.size(), service.mustStayUpPercent),
                fmt::format("answer at most {:.0f}, or add targets", std::floor(100 - 100 / n)));
    }

    ServiceAnswers readService(TomlReader& reader, const Answers& answers)
    {
        ServiceAnswers service;
        service.name = reader.requiredText("name");
        reader.setPath("service." + service.name);
        service.purpose = reader.requiredText("what_does_it_do");
        service.requestsAtOnce
            = static_cast<unsigned>(reader.integer("requests_at_once_per_target", 3, 1, maxRequestsAtOnce));
        service.connections = static_cast<unsigned>(reader.integer("connections_per_target", 400, 1, maxConnections));
        service.slowAfterStart = seconds(reader.integer("seconds_slow_after_start", 0, 0, 3600));
        service.mustStayUpPercent = reader.number("what_must_stay_up_percent", 70, 0, 100);
        service.costlierMistake = readCostlierMistake(reader);
        service.notRunStatus = static_cast<unsigned>(reader.integer("not_run_status", 503, 400, 599));
        service.notRunHeader = reader.text("not_run_header", "X-Not-Run");
        for (auto& it : reader.tables("request"))
            service.requests.push_back(readRequest(it, service.name, answers));
        for (auto& it : reader.tables("target"))
            service.targets.push_back(readTarget(it, service.name, answers));
        checkService(reader, service);
        reader.reportUnknownKeys();
        return service;
    }

} // namespace

ParsedAnswers parseAnswers(std::string_view text, const std::string& file)
{
    ParsedAnswers result;
    auto reader = TomlReader::parse(text, file, result.findings);
    if (!result.findings.empty())
        return result; // After a syntax error there is no document to read answers from.
    auto& answers = result.answers;
    answers.deployment = reader.requiredText("deployment");
    answers.zones = reader.texts("availability_zones");
    if (answers.zones.empty())
        reader.report("availability_zones", "is missing or empty", "list the names of your availability zones");
    answers.zoneDelay = reader.milliseconds("zone_delay_ms", milliseconds(5), milliseconds(0), milliseconds(1000));
    answers.clientDelay
        = reader.milliseconds("client_delay_ms", milliseconds(8), milliseconds(0), milliseconds(10'000));
    for (auto& it : reader.tables("service"))
        answers.services.push_back(readService(it, answers));
    if (answers.services.empty())
        reader.report("service", "there is no service", "add a [[service]]");
    reportDuplicates(reader, "service", answers.services);
    reader.reportUnknownKeys();
    return result;
}

std::string emptyQuestionnaire()
{
    return R"(# Questionnaire about your services.
# Answer each question and run: buckthorncroftctl generate ANSWERS.toml > configuration.toml
# Lines that start with # are explanations. Text answers stand in quotes.

# What do you call this installation?
deployment = ""

# Which groups of machines fail together? Give each a name.
availability_zones = ["z1", "z2", "z3"]

# How long does a message take from one zone to another, one way, in thousandths of a second?
zone_delay_ms = 5

# How long does a message take from your customers to you, one way, in thousandths of a second?
client_delay_ms = 8

# Copy this block for each service.
[[service]]
name = ""

# What does the service do, in one sentence? For your successors.
what_does_it_do = ""

# How many requests does one target work on at the same time?
requests_at_once_per_target = 3

# How many connections does one target accept, from all sides together?
connections_per_target = 400

# For how many seconds after its start is a target slower than usual?
seconds_slow_after_start = 10

# What share of the targets must stay up, whatever looks wrong with them? In percent.
what_must_stay_up_percent = 70

# Which mistake hurts more: "a slow target kept", "a healthy target removed", or "both the same"?
which_hurts_more = "both the same"

# How does a target say that it did not run a request? The answer's status and a header with the value "true".
not_run_status = 503
not_run_header = "X-Not-Run"

# Copy this block for each sort of request of the service.
[[service.request]]
name = ""
path = "/"
methods = ["GET"]

# May this request run again, with no harm, when its answer was lost? "yes" or "no". When in doubt, "no".
may_this_request_run_again = "no"

# Does running it twice bill, ship or reserve something twice? "yes" or "no".
does_running_it_twice_bill_or_ship_twice = "yes"

# Do callers send a header Idempotency-Key that is the same when they repeat a request? "yes" or "no".
do_callers_send_an_idempotency_key = "no"

# How large is the largest file that a caller sends with it, in megabytes? 0 for none.
largest_file_megabytes = 0

# How late is an answer still of use, in thousandths of a second?
answer_within_ms = 2000

# Copy this block for each target of the service.
[[service.target]]
name = ""
ip = ""
port = 8080
zone = "z1"
)";
}

} // namespace buckthorncroft::config
