#include <cardamompost/ledger/cp_update_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace cardamompost;

namespace
{

constexpr double megabyte = 1U << 20U;
constexpr std::size_t entryCount = 67;
constexpr Milliseconds oneWay {2};
constexpr Milliseconds maxWait {500};
constexpr Milliseconds tick {10};

using Queue = UpdateQueue<std::size_t>;

//! Simulates entries that poll a leader whose document changes, in virtual time with steps of one millisecond.
class UpdateSimulation
{
public:
    explicit UpdateSimulation(std::size_t answerBytes)
        : answerBytes_(answerBytes)
        , entries_(entryCount)
    {
    }

    void run(Milliseconds time, Milliseconds changeEvery)
    {
        for (TimePoint end = now_ + time; now_ < end; now_ += Milliseconds(1)) {
            const auto since = std::chrono::duration_cast<Milliseconds>(now_.time_since_epoch());
            if (changeEvery.count() != 0 && since % changeEvery == Milliseconds(0)) {
                ++version_;
                changedAt_.push_back(now_);
            }
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                step(i);
            }
            if (since % tick == Milliseconds(0)) {
                serve();
            }
        }
    }
    //! Longest time for which any entry had an outdated document.
    [[nodiscard]] Milliseconds worstLag() const
    {
        return worstLag_;
    }
    [[nodiscard]] bool isUpToDate() const
    {
        return std::all_of(entries_.begin(), entries_.end(),
                           [&](const Entry &entry) { return entry.version == version_; });
    }

private:
    struct Entry {
        std::uint64_t version = 0;
        TimePoint nextRequestAt {};
        bool hasPendingRequest = false;
        std::optional<TimePoint> outdatedSince;
    };

    void step(std::size_t number)
    {
        Entry &entry = entries_[number];
        if (entry.version < version_) {
            const TimePoint replacedAt = changedAt_[entry.version];
            worstLag_ = std::max(worstLag_, std::chrono::duration_cast<Milliseconds>(now_ - replacedAt));
        }
        if (entry.hasPendingRequest || now_ < entry.nextRequestAt) {
            return;
        }
        UpdateRequest request;
        request.documentVersion = entry.version;
        request.staleMs = entry.outdatedSince ? static_cast<std::uint32_t>(toMs(now_ - *entry.outdatedSince)) : 0;
        queue_.add(request, number, now_, maxWait);
        entry.hasPendingRequest = true;
        serve();
    }
    void answer(std::size_t number, std::uint64_t version)
    {
        Entry &entry = entries_[number];
        entry.version = version;
        entry.hasPendingRequest = false;
        entry.nextRequestAt = now_ + oneWay + oneWay;
        if (version == version_) {
            entry.outdatedSince.reset();
        } else if (!entry.outdatedSince) {
            entry.outdatedSince = now_;
        }
    }
    void serve()
    {
        const auto isDue = [&](const UpdateRequest &request) { return request.documentVersion < version_; };
        queue_.serve(now_, isDue, [&](const Queue::PendingRequest &pending) {
            answer(pending.replier, version_);
            return answerBytes_;
        });
        for (const Queue::PendingRequest &pending : queue_.takeExpired(now_)) {
            answer(pending.replier, pending.request.documentVersion);
        }
    }

    std::size_t answerBytes_;
    std::vector<Entry> entries_;
    Queue queue_ {{24 * megabyte, 4 * megabyte}};
    std::uint64_t version_ = 0;
    //! Time of each change; element i is the change to version i + 1.
    std::vector<TimePoint> changedAt_;
    TimePoint now_ {Milliseconds(1)};
    Milliseconds worstLag_ {0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(update_queue)

// Guards against starvation of some entries when changes need more bandwidth than the limit allows.
BOOST_AUTO_TEST_CASE(no_entry_waits_much_longer_than_it_takes_to_serve_all_entries_once)
{
    // 67 answers of 1 MiB at 24 MiB/s.
    constexpr Milliseconds serveAll {2800};
    UpdateSimulation simulation(static_cast<std::size_t>(megabyte));
    simulation.run(Milliseconds(15'000), Milliseconds(330));
    BOOST_TEST(simulation.worstLag().count() < (serveAll + serveAll / 4).count());
    simulation.run(Milliseconds(4000), Milliseconds(0));
    BOOST_TEST(simulation.isUpToDate());
}

BOOST_AUTO_TEST_CASE(small_updates_reach_all_entries_within_a_round_trip_and_a_tick)
{
    UpdateSimulation simulation(10'000);
    simulation.run(Milliseconds(5000), Milliseconds(330));
    BOOST_TEST(simulation.worstLag().count() <= (oneWay + oneWay + tick).count());
}

BOOST_AUTO_TEST_CASE(entry_that_is_stale_for_longest_is_served_first)
{
    Queue queue({megabyte, 1});
    const TimePoint now {Milliseconds(100'000)};
    UpdateRequest stale;
    stale.staleMs = 3000;
    queue.add({}, 1, now, maxWait);
    queue.add(stale, 2, now + Milliseconds(400), maxWait);
    std::vector<std::size_t> served;
    const auto all = [](const UpdateRequest & /*request*/) { return true; };
    const auto send = [&](const Queue::PendingRequest &pending) {
        served.push_back(pending.replier);
        return static_cast<std::size_t>(megabyte);
    };
    queue.serve(now + Milliseconds(401), all, send);
    BOOST_TEST(served == std::vector<std::size_t> {2}, boost::test_tools::per_element());
    // The token deficit has to be refilled before the next answer.
    queue.serve(now + Milliseconds(900), all, send);
    BOOST_TEST(served.size() == 1U);
    queue.serve(now + Milliseconds(1500), all, send);
    BOOST_TEST(served == (std::vector<std::size_t> {2, 1}), boost::test_tools::per_element());
    BOOST_TEST(queue.isEmpty());
}

BOOST_AUTO_TEST_CASE(requests_without_updates_expire_at_their_deadline)
{
    Queue queue({megabyte, megabyte});
    const TimePoint now {Milliseconds(100'000)};
    queue.add({}, 1, now, maxWait);
    queue.add({}, 2, now + Milliseconds(100), maxWait);
    BOOST_TEST(queue.takeExpired(now + Milliseconds(499)).empty());
    const auto expired = queue.takeExpired(now + Milliseconds(500));
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired.front().replier == 1U);
    BOOST_TEST(queue.takeAll().size() == 1U);
    BOOST_TEST(queue.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
