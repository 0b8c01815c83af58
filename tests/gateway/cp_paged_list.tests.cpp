#include "gateway/cp_paged_list.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace cardamompost;
namespace asio = boost::asio;

namespace
{

constexpr std::size_t pageSize = 200;
const std::vector<std::string> domains {"apapa", "tincan", "onne", "lekki", "ikorodu"};

//! A platform's list in pages, each of which takes one step of virtual time.
class PagedPlatform
{
public:
    explicit PagedPlatform(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            addServer(domains[i % domains.size()]);
        }
    }
    void addServer(const std::string &failureDomain)
    {
        BackendServer server;
        server.id = "i-" + std::to_string(servers_.size());
        server.failureDomain = failureDomain;
        servers_.push_back(server);
    }
    //! Reads the list. \returns the number of servers, or `failed`
    std::size_t read()
    {
        std::size_t count = failed;
        bool isDone = false;
        steps = 0;
        calls = 0;
        const auto run = [&]() -> asio::awaitable<void> {
            const Result<PagedList::Content> content = co_await list_.read();
            if (content) {
                count = content.value().servers.size();
            }
            isDone = true;
        };
        asio::co_spawn(io_, run, asio::detached);
        io_.restart();
        io_.poll();
        while (!isDone) {
            ++steps;
            step_.cancel();
            io_.restart();
            io_.poll();
        }
        return count;
    }

    static constexpr std::size_t failed = static_cast<std::size_t>(-1);
    //! Of the last read.
    std::size_t steps = 0;
    std::size_t calls = 0;
    std::string failingDomain = "none";

private:
    asio::awaitable<Result<BackendPage>> fetch(std::string failureDomain, std::string page)
    {
        ++calls;
        co_await step_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (failureDomain == failingDomain) {
            co_return makeError(ErrorKind::BackendFailed, "unavailable");
        }
        std::vector<BackendServer> listed;
        for (const BackendServer &server : servers_) {
            if (failureDomain.empty() || server.failureDomain == failureDomain) {
                listed.push_back(server);
            }
        }
        const std::size_t begin = page.empty() ? 0 : std::stoul(page);
        const std::size_t end = std::min(listed.size(), begin + pageSize);
        BackendPage result;
        result.servers.assign(listed.begin() + static_cast<std::ptrdiff_t>(begin),
                              listed.begin() + static_cast<std::ptrdiff_t>(end));
        result.next = end == listed.size() ? std::string() : std::to_string(end);
        co_return result;
    }

    asio::io_context io_;
    asio::steady_timer step_ {io_, asio::steady_timer::time_point::max()};
    std::vector<BackendServer> servers_;
    PagedList list_ {[this](std::string failureDomain, std::string page) {
        return fetch(std::move(failureDomain), std::move(page));
    }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(paged_list)

// Guards against news of a leaving server that come later the more servers there are.
BOOST_AUTO_TEST_CASE(a_long_list_is_read_by_all_failure_domains_at_a_time)
{
    for (const std::size_t count : {10'000U, 20'000U}) {
        PagedPlatform platform(count);
        BOOST_TEST(platform.read() == count);
        BOOST_TEST(platform.steps == count / pageSize);
        BOOST_TEST(platform.read() == count);
        BOOST_TEST(platform.steps == count / pageSize / domains.size());
        BOOST_TEST(platform.calls == count / pageSize);
    }
}

BOOST_AUTO_TEST_CASE(a_short_list_is_read_as_a_whole)
{
    PagedPlatform platform(3 * pageSize);
    platform.read();
    platform.read();
    BOOST_TEST(platform.calls == 3U);
    BOOST_TEST(platform.steps == 3U);
}

// Guards against servers that stay unknown because their failure domain is new, or that have none.
BOOST_AUTO_TEST_CASE(servers_of_a_new_failure_domain_are_found_within_sixteen_reads)
{
    PagedPlatform platform(10 * pageSize);
    platform.read();
    platform.addServer("new");
    std::size_t reads = 1;
    while (platform.read() != 10 * pageSize + 1) {
        ++reads;
        BOOST_REQUIRE(reads <= 16U);
    }
    BOOST_TEST(platform.read() == 10 * pageSize + 1);
    platform.addServer({});
    for (std::size_t i = 0; i < 16; ++i) {
        platform.read();
    }
    for (std::size_t i = 0; i < 16; ++i) {
        BOOST_TEST(platform.read() == 10 * pageSize + 2);
    }
}

// Guards against taking a failure domain that could not be read for one without servers.
BOOST_AUTO_TEST_CASE(a_failure_domain_that_cannot_be_read_fails_the_whole_read)
{
    PagedPlatform platform(10 * pageSize);
    platform.read();
    platform.failingDomain = "onne";
    BOOST_TEST(platform.read() == PagedPlatform::failed);
    platform.failingDomain = "none";
    BOOST_TEST(platform.read() == 10 * pageSize);
}

BOOST_AUTO_TEST_SUITE_END()
