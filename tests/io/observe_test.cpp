#define BOOST_TEST_MODULE Observe
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/observe/log.h>
#include <buckthorncroft/observe/metrics.h>
#include <cstdio>
#include <string>

using namespace buckthorncroft;

namespace {

std::string logLineWithTarget(const std::string& value)
{
    const base::ManualClock clock;
    std::FILE* out = std::tmpfile();
    const observe::Logger logger(clock, "e1", "z 1", observe::Level::Info, out);
    logger.write(observe::Level::Debug, "hidden", {});
    logger.write(observe::Level::Info, "placement", { { "target", value } });
    std::rewind(out);
    std::string text(4096, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), out));
    std::fclose(out);
    return text;
}

} // namespace

// Guards against log injection: a header value of a caller that adds a log line or a field.
BOOST_AUTO_TEST_CASE(valuesCannotForgeLinesOrFields)
{
    const auto text = logLineWithTarget("a\nlevel=error event=\"x");
    BOOST_TEST(text.find('\n') == text.size() - 1);
    BOOST_TEST(text.find("target=\"a\\x0alevel=error event=\\\"x\"") != std::string::npos);
    BOOST_TEST(text.find("instance=e1 zone=\"z 1\" event=placement") != std::string::npos);
}

// Guards against labels with unbounded values that exhaust the memory of a small instance.
BOOST_AUTO_TEST_CASE(seriesAreBounded)
{
    observe::Metrics metrics;
    for (int i = 0; i < 20'010; ++i)
        metrics.count("buckthorncroft_test_total", { { "n", std::to_string(i) } });
    BOOST_TEST(metrics.text().find("buckthorncroft_metric_series_dropped_total 10") != std::string::npos);
}

// Guards against a second series for the same name and labels, which would split the count.
BOOST_AUTO_TEST_CASE(repeatedUseAddsToOneSeries)
{
    observe::Metrics metrics;
    metrics.count("buckthorncroft_test_total", { { "kind", "a" } }, 2);
    metrics.count("buckthorncroft_test_total", { { "kind", "a" } }, 3);
    BOOST_TEST(metrics.text().find("buckthorncroft_test_total{kind=\"a\"} 5") != std::string::npos);
}
