/// Stand-in for a target: serves requests with bounded slots and injects faults on request.
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

/// Accepts connections and gives each to a session. Ignored connections are held open, so that they never answer.
class Listener {
public:
    Listener(asio::io_context& context, const tcp::endpoint& endpoint, TargetState& state)
        : m_acceptor(context, endpoint)
        , m_retry(context)
        , m_state(state)
    {
        accept();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    static constexpr std::size_t maxIgnored = 512;
    static constexpr milliseconds retryDelay { 10 };

    void accept()
    {
        m_acceptor.async_accept([this](error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted)
                return;
            if (ec)
                return acceptLater();
            if (m_state.ignoresConnection())
                ignore(std::move(socket));
            else
                std::make_shared<TargetSession>(std::move(socket), m_state)->start();
            accept();
        });
    }

    // Accepting fails while the process is out of file descriptors; a pause keeps that from using a whole core.
    void acceptLater()
    {
        m_retry.expires_after(retryDelay);
        m_retry.async_wait([this](error_code ec) {
            if (!ec)
                accept();
        });
    }

    void ignore(tcp::socket socket)
    {
        m_ignored.push_back(std::move(socket));
        if (m_ignored.size() > maxIgnored)
            m_ignored.pop_front();
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_retry;
    TargetState& m_state;
    std::deque<tcp::socket> m_ignored;
};

options::options_description describe(Settings& settings, std::int64_t& coldMs, std::int64_t& lagMs)
{
    auto& target = settings.target;
    options::options_description description("standin-target options");
    const auto number = [](auto& value) { return options::value(&value)->default_value(value); };
    description.add_options()("help", "print this text");
    description.add_options()("address", number(settings.address), "IP address to listen on");
    description.add_options()("port", number(settings.port), "TCP port; 0 takes a free one");
    description.add_options()("id", number(target.id), "target id");
    description.add_options()("zone", number(target.zone), "availability zone");
    description.add_options()("slots", number(target.slots), "requests that run at a time");
    description.add_options()("service-ms", number(target.serviceMedianMs), "median service time");
    description.add_options()("service-sigma", number(target.serviceSigma), "sigma of the log-normal service time");
    description.add_options()("cold-ms", number(coldMs), "duration of the cold start");
    description.add_options()("cold-factor", number(target.coldFactor), "slowdown at the start");
    description.add_options()("lag-ms", number(lagMs), "age of what /health and /load report");
    description.add_options()("seed", number(target.seed), "seed of service times and fault shares");
    return description;
}

/// Returns -1 when the program is to run, otherwise its exit status.
int readOptions(int argc, char** argv, Settings& settings)
{
    std::int64_t coldMs = 0;
    std::int64_t lagMs = 0;
    const auto description = describe(settings, coldMs, lagMs);
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
    settings.target.coldStart = milliseconds(coldMs);
    settings.target.endpointLag = milliseconds(lagMs);
    const auto& target = settings.target;
    if (target.slots == 0 || target.serviceMedianMs < 0 || target.serviceSigma < 0 || coldMs < 0 || lagMs < 0) {
        std::cerr << "level=error event=options reason=\"a value is out of range\"\n";
        return 2;
    }
    return -1;
}

} // namespace

int main(int argc, char** argv)
{
    Settings settings;
    if (const int status = readOptions(argc, argv, settings); status >= 0)
        return status;
    try {
        const base::SystemClock clock;
        // Sessions release their slots when the context is destroyed, so the state must outlive it.
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
