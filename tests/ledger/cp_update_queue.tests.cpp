#include <cardamompost/ledger/cp_update_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace cardamompost;

namespace
{

constexpr double megabyte = 1U << 20U;
constexpr std::size_t entryCount = 67;
constexpr Milliseconds oneWay {2};
constexpr Milliseconds longestWait {500};
constexpr Milliseconds tick {10};

using Queue = UpdateQueue<std::size_t>;

//! Entries that ask for news without end, and a leader whose document changes; in virtual time, a millisecond a step.
class World
{
public:
    explicit World(std::size_t answerBytes)
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
    //! The longest that any entry went by a document older than the newest one.
    [[nodiscard]] Milliseconds worstLag() const
    {
        return worst_;
    }
    [[nodiscard]] bool isUpToDate() const
    {
        return std::all_of(entries_.begin(), entries_.end(),
                           [&](const Entry &entry) { return entry.version == version_; });
    }

private:
    struct Entry {
        std::uint64_t version = 0;
        TimePoint nextAsk {};
        bool hasAsked = false;
        std::optional<TimePoint> lacksSince;
    };

    void step(std::size_t number)
    {
        Entry &entry = entries_[number];
        if (entry.version < version_) {
            const TimePoint outdated = changedAt_[entry.version];
            worst_ = std::max(worst_, std::chrono::duration_cast<Milliseconds>(now_ - outdated));
        }
        if (entry.hasAsked || now_ < entry.nextAsk) {
            return;
        }
        UpdateRequest request;
        request.documentVersion = entry.version;
        request.staleMs = entry.lacksSince ? static_cast<std::uint32_t>(toMs(now_ - *entry.lacksSince)) : 0;
        queue_.add(request, number, now_, longestWait);
        entry.hasAsked = true;
        serve();
    }
    void answer(std::size_t number, std::uint64_t version)
    {
        Entry &entry = entries_[number];
        entry.version = version;
        entry.hasAsked = false;
        entry.nextAsk = now_ + oneWay + oneWay;
        if (version == version_) {
            entry.lacksSince.reset();
        } else if (!entry.lacksSince) {
            entry.lacksSince = now_;
        }
    }
    void serve()
    {
        const auto isDue = [&](const UpdateRequest &request) { return request.documentVersion < version_; };
        queue_.serve(now_, isDue, [&](const Queue::Question &question) {
            answer(question.replier, version_);
            return answerBytes_;
        });
        for (const Queue::Question &question : queue_.takeExpired(now_)) {
            answer(question.replier, question.request.documentVersion);
        }
    }

    std::size_t answerBytes_;
    std::vector<Entry> entries_;
    Queue queue_ {{24 * megabyte, 4 * megabyte}};
    std::uint64_t version_ = 0;
    //! When each version, from 1 on, took the place of the one before.
    std::vector<TimePoint> changedAt_;
    TimePoint now_ {Milliseconds(1)};
    Milliseconds worst_ {0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(news_queue)

// Sixty-seven entries, answers of a megabyte, a change every third of a second: three times what may be sent. Some
// entries were served at every change since they asked at the right moment, and others waited for six seconds. Now
// each gets its turn: nobody waits much longer than it takes to serve everybody once, which is 2.8 s here.
BOOST_AUTO_TEST_CASE(nobody_waits_longer_than_it_takes_to_serve_everybody_once)
{
    constexpr Milliseconds serveAll {2800};
    World world(static_cast<std::size_t>(megabyte));
    world.run(Milliseconds(15'000), Milliseconds(330));
    BOOST_TEST(world.worstLag().count() < (serveAll + serveAll / 4).count());
    world.run(Milliseconds(4000), Milliseconds(0));
    BOOST_TEST(world.isUpToDate());
}

BOOST_AUTO_TEST_CASE(small_news_reach_everybody_within_a_round)
{
    World world(10'000);
    world.run(Milliseconds(5000), Milliseconds(330));
    BOOST_TEST(world.worstLag().count() <= (oneWay + oneWay + tick).count());
}

BOOST_AUTO_TEST_CASE(who_has_lacked_something_for_longest_is_served_first_however_often_he_asked)
{
    Queue queue({megabyte, 1});
    const TimePoint now {Milliseconds(100'000)};
    UpdateRequest early;
    early.staleMs = 3000;
    queue.add({}, 1, now, longestWait);
    queue.add(early, 2, now + Milliseconds(400), longestWait);
    std::vector<std::size_t> served;
    const auto all = [](const UpdateRequest & /*request*/) { return true; };
    const auto send = [&](const Queue::Question &question) {
        served.push_back(question.replier);
        return static_cast<std::size_t>(megabyte);
    };
    queue.serve(now + Milliseconds(401), all, send);
    BOOST_TEST(served == std::vector<std::size_t> {2}, boost::test_tools::per_element());
    // What was sent beyond the bound is paid off before the next.
    queue.serve(now + Milliseconds(900), all, send);
    BOOST_TEST(served.size() == 1U);
    queue.serve(now + Milliseconds(1500), all, send);
    BOOST_TEST(served == (std::vector<std::size_t> {2, 1}), boost::test_tools::per_element());
    BOOST_TEST(queue.isEmpty());
}

BOOST_AUTO_TEST_CASE(questions_without_news_are_given_back_when_their_time_is_over)
{
    Queue queue({megabyte, megabyte});
    const TimePoint now {Milliseconds(100'000)};
    queue.add({}, 1, now, longestWait);
    queue.add({}, 2, now + Milliseconds(100), longestWait);
    BOOST_TEST(queue.takeExpired(now + Milliseconds(499)).empty());
    const auto expired = queue.takeExpired(now + Milliseconds(500));
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired.front().replier == 1U);
    BOOST_TEST(queue.takeAll().size() == 1U);
    BOOST_TEST(queue.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
