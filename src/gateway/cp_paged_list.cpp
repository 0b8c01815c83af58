#include "cp_paged_list.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t maxPages = 1000;
// A shorter list is read page by page, which takes fewer calls.
constexpr std::size_t minPagesToSplit = 8;
// Reads by failure domain between two reads of the complete list.
constexpr unsigned maxSplitReads = 15;

} // namespace

bool PagedList::isSplit() const
{
    // Servers without a failure domain are in no domain's list.
    return pages_ >= minPagesToSplit && readsSinceWhole_ < maxSplitReads && !failureDomains_.contains({});
}

asio::awaitable<Result<PagedList::Content>> PagedList::read()
{
    Content content;
    if (isSplit()) {
        ++readsSinceWhole_;
        const Result<void> byDomain = co_await readByDomain(content);
        if (!byDomain) {
            co_return byDomain.error();
        }
    } else {
        pages_ = 0;
        const std::string allDomains;
        const Result<void> whole = co_await readPages(allDomains, content);
        if (!whole) {
            co_return whole.error();
        }
        readsSinceWhole_ = 0;
        failureDomains_.clear();
        for (const BackendServer &server : content.servers) {
            failureDomains_.insert(server.failureDomain);
        }
    }
    content.servers = latestIncarnations(std::move(content.servers));
    co_return content;
}

asio::awaitable<Result<void>> PagedList::readByDomain(Content &content)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer allRead(executor, asio::steady_timer::time_point::max());
    std::size_t reading = failureDomains_.size();
    Result<void> result = boost::outcome_v2::success();
    const auto readOne = [&](std::string failureDomain) -> asio::awaitable<void> {
        const Result<void> read = co_await readPages(failureDomain, content);
        if (!read) {
            result = read.error();
        }
        if (--reading == 0) {
            allRead.cancel();
        }
    };
    for (const std::string &failureDomain : failureDomains_) {
        asio::co_spawn(executor, readOne(failureDomain), asio::detached);
    }
    while (reading != 0) {
        co_await allRead.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return result;
}

asio::awaitable<Result<void>> PagedList::readPages(const std::string &failureDomain, Content &content)
{
    std::string next;
    for (std::size_t count = 0; count < maxPages; ++count) {
        Result<BackendPage> page = co_await fetch_(failureDomain, next);
        if (!page) {
            co_return page.error();
        }
        for (BackendServer &server : page.value().servers) {
            content.servers.push_back(std::move(server));
        }
        if (page.value().skipped != 0) {
            content.skipped += page.value().skipped;
            content.reason = page.value().reason;
        }
        pages_ += failureDomain.empty() ? 1 : 0;
        next = page.value().next;
        if (next.empty()) {
            co_return boost::outcome_v2::success();
        }
    }
    co_return makeError(ErrorKind::BackendFailed, "the list has more pages than expected");
}

} // namespace cardamompost
