#include <cardamompost/observe/cp_log_pipe.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <unistd.h>

using namespace cardamompost;

namespace
{

constexpr std::size_t capacity = 64U << 10U;

//! Both ends of a pipe.
struct Pipe {
    Pipe()
    {
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
    }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    std::string read() const
    {
        std::string bytes(1U << 20U, '\0');
        const ssize_t got = ::read(ends[0], bytes.data(), bytes.size());
        bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
        return bytes;
    }
    std::array<int, 2> ends {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(log_pipe)

BOOST_AUTO_TEST_CASE(lines_come_out_in_order)
{
    const Pipe pipe;
    LogPipe log(pipe.ends[1], capacity);
    log.add("one");
    log.add("two");
    log.flush();
    BOOST_TEST(pipe.read() == "one\ntwo\n");
    BOOST_TEST(log.waitingBytes() == 0U);
}

// Whoever collects the logs hangs and reads nothing any more. A process that waited for the full pipe would answer no
// request until somebody noticed; this test would never end.
BOOST_AUTO_TEST_CASE(a_pipe_that_nobody_reads_stops_nothing_and_what_is_lost_is_told)
{
    const Pipe pipe;
    LogPipe log(pipe.ends[1], capacity);
    const std::string line(200, 'x');
    for (int i = 0; i < 5000; ++i) {
        log.add(line);
    }
    BOOST_TEST(log.dropped() > 0U);
    BOOST_TEST(log.waitingBytes() <= capacity);
    const std::string told = "\"lines\":" + std::to_string(log.dropped());
    std::string seen = pipe.read();
    log.flush();
    log.add("after");
    for (int i = 0; i < 20 && !seen.ends_with("after\n"); ++i) {
        seen += pipe.read();
        log.flush();
    }
    BOOST_TEST(seen.find("log.dropped") != std::string::npos);
    BOOST_TEST(seen.find(told) != std::string::npos);
    BOOST_TEST(seen.ends_with("after\n"));
}

BOOST_AUTO_TEST_SUITE_END()
