#define BOOST_TEST_MODULE LineWriter
#include <boost/test/unit_test.hpp>

#include <array>
#include <buckthorncroft/observe/line_writer.h>
#include <string>
#include <unistd.h>

using namespace buckthorncroft;
using namespace std::chrono_literals;

namespace {

struct Pipe {
    Pipe() { BOOST_REQUIRE(::pipe(ends.data()) == 0); }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::array<int, 2> ends {};
};

} // namespace

// Guards against a process that blocks on a log line because nothing reads the log pipe.
BOOST_AUTO_TEST_CASE(fullPipeDropsLinesAndNeverBlocks)
{
    Pipe pipe;
    base::ManualClock clock;
    observe::LineWriter writer(clock, pipe.ends[1], 1'000'000);
    const std::string line(1000, 'x');
    for (int n = 0; n < 1000; ++n)
        writer.write(line);
    const auto dropped = writer.takeDroppedCount();
    BOOST_TEST(dropped > 0u);
    BOOST_TEST(dropped < 1000u);
    BOOST_TEST(writer.takeDroppedCount() == 0u);
}

// Guards against logging that uses too much CPU time under load.
BOOST_AUTO_TEST_CASE(linesBeyondTheRateAreDropped)
{
    Pipe pipe;
    base::ManualClock clock;
    observe::LineWriter writer(clock, pipe.ends[1], 10);
    for (int n = 0; n < 15; ++n)
        writer.write("line\n");
    BOOST_TEST(writer.takeDroppedCount() == 5u);
    clock.advance(1s);
    writer.write("line\n");
    BOOST_TEST(writer.takeDroppedCount() == 0u);
}

// Guards against a line longer than `PIPE_BUF`, which a pipe may take only in part.
BOOST_AUTO_TEST_CASE(longLinesAreTruncatedAndEndWithNewline)
{
    Pipe pipe;
    base::ManualClock clock;
    observe::LineWriter writer(clock, pipe.ends[1]);
    writer.write(std::string(10'000, 'x') + "\n");
    std::array<char, 8192> buf {};
    const auto n = ::read(pipe.ends[0], buf.data(), buf.size());
    BOOST_TEST(n == static_cast<ssize_t>(observe::LineWriter::maxLineBytes));
    BOOST_TEST(buf[static_cast<std::size_t>(n) - 1] == '\n');
}
