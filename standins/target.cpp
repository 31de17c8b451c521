/// Stand-in for a target: serves requests with a limited number of slots and injects faults on demand.
#include "target_session.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <iostream>

namespace {

using namespace buckthorncroft;
using namespace buckthorncroft::standins;
namespace options = boost::program_options;

struct Settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    TargetOptions target;
};

/// Accepts connections and starts a session for each. Connections that a fault ignores are kept open and never read.
class Listener {
public:
    Listener(asio::io_context& context, const tcp::endpoint& endpoint, TargetState& state)
        : m_acceptor(context, endpoint)
        , m_retryTimer(context)
        , m_state(state)
    {
        accept();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    static constexpr std::size_t maxIgnoredConnections = 512;
    static constexpr milliseconds retryDelay { 10 };

    void accept()
    {
        m_acceptor.async_accept([this](error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted)
                return;
            if (ec)
                return scheduleAccept();
            if (m_state.shouldIgnoreConnection())
                ignore(std::move(socket));
            else
                std::make_shared<TargetSession>(std::move(socket), m_state)->start();
            accept();
        });
    }

    // Accepting fails while the process is out of file descriptors; the delay prevents a busy loop.
    void scheduleAccept()
    {
        m_retryTimer.expires_after(retryDelay);
        m_retryTimer.async_wait([this](error_code ec) {
            if (!ec)
                accept();
        });
    }

    void ignore(tcp::socket socket)
    {
        m_ignoredConnections.push_back(std::move(socket));
        if (m_ignoredConnections.size() > maxIgnoredConnections)
            m_ignoredConnections.pop_front();
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    TargetState& m_state;
    std::deque<tcp::socket> m_ignoredConnections;
};

options::options_description makeOptionsDescription(
    Settings& settings, std::int64_t& coldStartMs, std::int64_t& reportDelayMs)
{
    auto& target = settings.target;
    options::options_description description("standin-target options");
    const auto withDefault = [](auto& value) { return options::value(&value)->default_value(value); };
    description.add_options()("help", "print this help and exit");
    description.add_options()("address", withDefault(settings.address), "IP address to listen on");
    description.add_options()("port", withDefault(settings.port), "TCP port; 0 selects a free port");
    description.add_options()("id", withDefault(target.id), "target id");
    description.add_options()("zone", withDefault(target.zone), "availability zone");
    description.add_options()("slots", withDefault(target.slots), "maximum number of requests that run concurrently");
    description.add_options()("service-ms", withDefault(target.serviceMedianMs), "median service time in milliseconds");
    description.add_options()(
        "service-sigma", withDefault(target.serviceSigma), "sigma of the log-normal service time");
    description.add_options()("cold-ms", withDefault(coldStartMs), "duration of the cold start in milliseconds");
    description.add_options()(
        "cold-factor", withDefault(target.coldStartFactor), "slowdown factor at the beginning of the cold start");
    description.add_options()(
        "lag-ms", withDefault(reportDelayMs), "age in milliseconds of the state that /health and /load report");
    description.add_options()(
        "seed", withDefault(target.seed), "seed for service times and for the choice of faulty requests");
    return description;
}

/// Fills `settings` from the command line. Returns -1 when the program continues, otherwise its exit status.
int parseOptions(int argc, char** argv, Settings& settings)
{
    std::int64_t coldStartMs = 0;
    std::int64_t reportDelayMs = 0;
    const auto description = makeOptionsDescription(settings, coldStartMs, reportDelayMs);
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
    } catch (const options::error& error) {
        std::cerr << fmt::format("level=error event=options reason=\"{}\"\n", error.what());
        return 2;
    }
    settings.target.coldStart = milliseconds(coldStartMs);
    settings.target.reportDelay = milliseconds(reportDelayMs);
    const auto& target = settings.target;
    if (target.slots == 0 || target.serviceMedianMs < 0 || target.serviceSigma < 0 || coldStartMs < 0
        || reportDelayMs < 0) {
        std::cerr << "level=error event=options reason=\"--slots must be greater than 0; times and sigma must not be "
                     "negative\"\n";
        return 2;
    }
    return -1;
}

} // namespace

int main(int argc, char** argv)
{
    Settings settings;
    if (const int status = parseOptions(argc, argv, settings); status >= 0)
        return status;
    try {
        const base::SystemClock clock;
        // Destroying the context destroys the sessions, which release their slots, so the state must outlive it.
        TargetState state(settings.target, clock);
        asio::io_context context(1);
        Listener listener(context, { asio::ip::make_address(settings.address), settings.port }, state);
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](error_code, int) { context.stop(); });
        std::cout << fmt::format("event=listening target={} zone={} port={} seed={}\n", settings.target.id,
            settings.target.zone, listener.port(), settings.target.seed)
                  << std::flush;
        context.run();
    } catch (const std::exception& error) {
        std::cerr << fmt::format("level=error event=start reason=\"{}\"\n", error.what());
        return 1;
    }
    return 0;
}
