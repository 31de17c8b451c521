#include <buckthorncroft/config/parse.h>
#include <buckthorncroft/config/questionnaire.h>

#include <algorithm>
#include <fmt/format.h>

namespace buckthorncroft::config {

namespace {

    constexpr std::uint64_t bytesPerMegabyte = 1 << 20;
    // Body limit of requests without files, such as forms and documents.
    constexpr std::uint64_t maxBodyBytesWithoutFiles = 1 << 20;
    constexpr double biasForDetection = 1.0;
    constexpr double biasBalanced = 0.5;
    constexpr double biasAgainstFalseEjections = 0.1;
    // Hedging pays off for requests with a short deadline. With a longer one, a retry after a failure suffices.
    constexpr std::chrono::milliseconds maxHedgedDeadline { 3000 };

    double toBias(CostlierMistake mistake)
    {
        switch (mistake) {
        case CostlierMistake::SlowTargetKept:
            return biasForDetection;
        case CostlierMistake::Both:
            return biasBalanced;
        case CostlierMistake::HealthyTargetRemoved:
            return biasAgainstFalseEjections;
        }
        return biasBalanced;
    }

    RequestKind toRequestKind(const RequestAnswers& request)
    {
        if (request.largestFileMegabytes)
            return RequestKind::Upload;
        return request.mayRunAgain ? RequestKind::Idempotent : RequestKind::NonIdempotent;
    }

    Route makeRoute(const RequestAnswers& request)
    {
        Route route;
        route.name = request.name;
        route.pathPrefix = request.path;
        route.methods = request.methods;
        route.kind = toRequestKind(request);
        route.deadline = request.responseDeadline;
        route.maxBodyBytes
            = request.largestFileMegabytes ? request.largestFileMegabytes * bytesPerMegabyte : maxBodyBytesWithoutFiles;
        route.hedge = route.kind == RequestKind::Idempotent && route.deadline <= maxHedgedDeadline;
        route.requireIdempotencyKey = request.callersSendIdempotencyKey && route.kind != RequestKind::Idempotent;
        return route;
    }

    Service makeService(const ServiceAnswers& answers)
    {
        Service service;
        service.name = answers.name;
        for (const auto& it : answers.requests)
            service.routes.push_back(makeRoute(it));
        for (const auto& it : answers.targets) {
            Target target;
            target.id = it.name;
            target.host = it.host;
            target.port = it.port;
            target.zone = it.zone;
            target.slots = answers.requestsAtOnce;
            target.connectionLimit = answers.connections;
            service.targets.push_back(target);
        }
        service.floorFraction = answers.mustStayUpPercent / 100;
        service.bias = toBias(answers.costlierMistake);
        service.coldStart = answers.slowAfterStart;
        service.notRun = { answers.notRunStatus, answers.notRunHeader };
        return service;
    }

    std::string yesOrNo(bool answer)
    {
        return answer ? "yes" : "no";
    }

    // Returns TOML comments that name the answer from which each setting was derived, so that readers of the generated
    // file can see the reason for each value.
    std::string describeOrigins(const ServiceAnswers& answers, const Service& service)
    {
        auto text = fmt::format("# {}: {}\n", answers.name, answers.purpose);
        text += fmt::format("#   floor_fraction = {} from what_must_stay_up_percent = {} (floor: {} of {} targets)\n",
            service.floorFraction, answers.mustStayUpPercent, floorTargetCount(service), service.targets.size());
        text += fmt::format("#   bias = {} from which_hurts_more\n", service.bias);
        text += fmt::format("#   cold_start_ms = {} from seconds_slow_after_start\n", service.coldStart.count());
        text += fmt::format("#   not_run from not_run_status = {} and not_run_header = {}\n", answers.notRunStatus,
            answers.notRunHeader);
        text += fmt::format("#   slots = {} from requests_at_once_per_target\n", answers.requestsAtOnce);
        text += fmt::format("#   connection_limit = {} from connections_per_target\n", answers.connections);
        for (std::size_t i = 0; i < answers.requests.size(); ++i) {
            const auto& request = answers.requests[i];
            const auto& route = service.routes[i];
            text += fmt::format(
                "#   route {}: kind = {} from may_this_request_run_again = {}, largest_file_megabytes = {}; "
                "deadline_ms from answer_within_ms; hedge = {} from kind and answer_within_ms; "
                "require_idempotency_key = {} from do_callers_send_an_idempotency_key = {}\n",
                route.name, toString(route.kind), yesOrNo(request.mayRunAgain), request.largestFileMegabytes,
                route.hedge, route.requireIdempotencyKey, yesOrNo(request.callersSendIdempotencyKey));
        }
        return text;
    }

} // namespace

GeneratedConfiguration generateConfiguration(const Answers& answers)
{
    GeneratedConfiguration result;
    result.configuration.changeNumber = 1;
    for (const auto& it : answers.services)
        result.configuration.services.push_back(makeService(it));
    auto& services = result.configuration.services;
    std::sort(services.begin(), services.end(), [](const Service& a, const Service& b) { return a.name < b.name; });
    result.text
        = fmt::format("# Generated from the questionnaire of {}; change the answers, not this file.\nchange = 1\n",
            answers.deployment);
    for (const auto& service : services) {
        const auto it = std::find_if(answers.services.begin(), answers.services.end(),
            [&](const ServiceAnswers& candidate) { return candidate.name == service.name; });
        result.text += "\n" + describeOrigins(*it, service) + formatService(service);
    }
    return result;
}

} // namespace buckthorncroft::config
