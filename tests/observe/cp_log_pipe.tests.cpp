#include <cardamompost/observe/cp_log_pipe.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <unistd.h>

using namespace cardamompost;

namespace
{

constexpr std::size_t capacity = 64U << 10U;

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

BOOST_AUTO_TEST_CASE(lines_are_written_in_order)
{
    const Pipe pipe;
    LogPipe log(pipe.ends[1], capacity);
    log.add("one");
    log.add("two");
    log.flush();
    BOOST_TEST(pipe.read() == "one\ntwo\n");
    BOOST_TEST(log.bufferedBytes() == 0U);
}

// A log collector that stops reading must not block the process; a blocking write would hang this test.
BOOST_AUTO_TEST_CASE(a_full_pipe_does_not_block_and_dropped_lines_are_reported)
{
    const Pipe pipe;
    LogPipe log(pipe.ends[1], capacity);
    const std::string line(200, 'x');
    for (int i = 0; i < 5000; ++i) {
        log.add(line);
    }
    BOOST_TEST(log.dropped() > 0U);
    BOOST_TEST(log.bufferedBytes() <= capacity);
    const std::string expectedCount = "\"lines\":" + std::to_string(log.dropped());
    std::string output = pipe.read();
    log.flush();
    log.add("after");
    for (int i = 0; i < 20 && !output.ends_with("after\n"); ++i) {
        output += pipe.read();
        log.flush();
    }
    BOOST_TEST(output.find("log.dropped") != std::string::npos);
    BOOST_TEST(output.find(expectedCount) != std::string::npos);
    BOOST_TEST(output.ends_with("after\n"));
}

BOOST_AUTO_TEST_SUITE_END()
