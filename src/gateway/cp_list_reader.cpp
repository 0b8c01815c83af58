#include "cp_list_reader.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds leadershipPollInterval {50};
constexpr Milliseconds retryDelay {250};
constexpr Milliseconds requestTimeout {700};
constexpr unsigned statusOk = 200;

} // namespace

ListReader::ListReader(Parts parts)
    : parts_(parts)
    , list_([this](std::string failureDomain, std::string page) {
        return fetch(std::move(failureDomain), std::move(page));
    })
    , calls_(parts.metrics.counter("cardamompost_list_calls_total"))
    , skipped_(parts.metrics.counter("cardamompost_list_entries_left_out_total"))
    , failures_(parts.metrics.counter("cardamompost_list_failures_total"))
{
}

void ListReader::start()
{
    asio::co_spawn(parts_.io, run(), asio::detached);
}

asio::awaitable<void> ListReader::run()
{
    while (!isStopped_) {
        if (!parts_.service.leads()) {
            co_await sleepFor(leadershipPollInterval);
            continue;
        }
        Result<PagedList::Content> read = co_await list_.read();
        recordResult(read);
        // Leadership may have been lost while the list was read.
        if (read && parts_.service.leads()) {
            parts_.service.setBackends(std::move(read.value().servers));
        }
        const Milliseconds delay = read ? parts_.settings.listInterval : retryDelay;
        co_await sleepFor(delay);
    }
}

asio::awaitable<Result<BackendPage>> ListReader::fetch(std::string failureDomain, std::string page)
{
    HttpCall call;
    call.address = parts_.settings.backendList;
    call.target = parts_.adapter.backendsTarget(failureDomain, page);
    call.timeout = requestTimeout;
    calls_.add();
    const Result<HttpResponse> response = co_await client_.request(std::move(call));
    if (!response) {
        co_return response.error();
    }
    if (response.value().status != statusOk) {
        co_return makeError(ErrorKind::BackendFailed, "unexpected status " + std::to_string(response.value().status));
    }
    co_return parts_.adapter.readBackends(response.value().body);
}

void ListReader::reportSkipped(std::size_t skipped, const std::string &reason)
{
    skipped_.add(skipped);
    if (skipped != lastSkipped_ && skipped != 0) {
        parts_.log.warn("list.entries_left_out", {{"entries", skipped}, {"reason", reason}});
    }
    lastSkipped_ = skipped;
}

void ListReader::recordResult(const Result<PagedList::Content> &read)
{
    if (!read) {
        failures_.add();
    } else {
        reportSkipped(read.value().skipped, read.value().reason);
    }
    if (!read && !isFailing_) {
        parts_.log.warn("list.lost", {{"error", read.error().message}});
    } else if (read && isFailing_) {
        parts_.log.info("list.regained", {{"servers", read.value().servers.size()}});
    }
    isFailing_ = !read.has_value();
}

} // namespace cardamompost
