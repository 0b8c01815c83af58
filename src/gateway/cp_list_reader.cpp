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
constexpr int maxPages = 1000;

} // namespace

ListReader::ListReader(Parts parts)
    : parts_(parts)
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
        const Result<std::vector<BackendServer>> read = co_await readAll();
        recordResult(read);
        // Leadership may have been lost while the list was read.
        if (read && parts_.service.leads()) {
            parts_.service.setBackends(read.value());
        }
        const Milliseconds delay = read ? parts_.settings.listInterval : retryDelay;
        co_await sleepFor(delay);
    }
}

asio::awaitable<Result<std::vector<BackendServer>>> ListReader::readAll()
{
    std::vector<BackendServer> servers;
    std::string page;
    std::size_t skipped = 0;
    std::string reason;
    for (int count = 0; count < maxPages; ++count) {
        HttpCall call;
        call.address = parts_.settings.backendList;
        call.target = parts_.adapter.backendsTarget(page);
        call.timeout = requestTimeout;
        calls_.add();
        const Result<HttpResponse> response = co_await client_.request(std::move(call));
        if (!response) {
            co_return response.error();
        }
        if (response.value().status != statusOk) {
            co_return makeError(ErrorKind::BackendFailed,
                                "unexpected status " + std::to_string(response.value().status));
        }
        Result<BackendPage> read = parts_.adapter.readBackends(response.value().body);
        if (!read) {
            co_return read.error();
        }
        for (BackendServer &server : read.value().servers) {
            servers.push_back(std::move(server));
        }
        if (read.value().skipped != 0) {
            skipped += read.value().skipped;
            reason = read.value().reason;
        }
        page = read.value().next;
        if (page.empty()) {
            break;
        }
    }
    reportSkipped(skipped, reason);
    co_return latestIncarnations(std::move(servers));
}

void ListReader::reportSkipped(std::size_t skipped, const std::string &reason)
{
    skipped_.add(skipped);
    if (skipped != lastSkipped_ && skipped != 0) {
        parts_.log.warn("list.entries_left_out", {{"entries", skipped}, {"reason", reason}});
    }
    lastSkipped_ = skipped;
}

void ListReader::recordResult(const Result<std::vector<BackendServer>> &read)
{
    if (!read) {
        failures_.add();
    }
    if (!read && !isFailing_) {
        parts_.log.warn("list.lost", {{"error", read.error().message}});
    } else if (read && isFailing_) {
        parts_.log.info("list.regained", {{"servers", read.value().size()}});
    }
    isFailing_ = !read.has_value();
}

} // namespace cardamompost
