#include <cardamompost/policy/cp_turn_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>
#include <random>
#include <set>

using namespace cardamompost;

namespace
{

const std::string service = "engines";

QueuedTurn queued(std::string turn, std::string account, TurnGroup group = TurnGroup::New, unsigned rank = 0)
{
    return {std::move(turn), service, std::move(account), group, rank, {}};
}

void setSlots(TurnQueue &queue, unsigned slots)
{
    queue.setSlots(service, slots, slots);
}

void reserve(TurnQueue &queue, const std::string &account, int slots)
{
    for (int i = 0; i < slots; ++i) {
        queue.onReserved(service, account);
    }
}

//! Takes all turns out of the queue, each with a slot for its account.
std::vector<std::string> drain(TurnQueue &queue)
{
    std::vector<std::string> order;
    while (const QueuedTurn *next = queue.first(service)) {
        const QueuedTurn taken = *next;
        queue.remove(taken.turn);
        queue.onReserved(service, taken.account);
        order.push_back(taken.turn);
    }
    return order;
}

using Order = std::vector<std::string>;

//! The same order, by a search through all turns.
class PlainQueue
{
public:
    void push(QueuedTurn turn)
    {
        turns.push_back({std::move(turn), sequence++});
    }
    void remove(const std::string &turn)
    {
        std::erase_if(turns, [&](const Item &item) { return item.turn.turn == turn; });
    }
    [[nodiscard]] const QueuedTurn *first() const
    {
        const Item *best = nullptr;
        for (const Item &item : turns) {
            if (best == nullptr || keyOf(item) < keyOf(*best)) {
                best = &item;
            }
        }
        return best == nullptr ? nullptr : &best->turn;
    }

    std::map<std::string, unsigned> held;
    unsigned slots = 0;

private:
    struct Item {
        QueuedTurn turn;
        std::uint64_t sequence = 0;
    };
    using Key = std::tuple<bool, unsigned, unsigned, unsigned, unsigned, std::uint64_t>;

    [[nodiscard]] unsigned heldBy(const std::string &account) const
    {
        const auto found = held.find(account);
        return found == held.end() ? 0 : found->second;
    }
    [[nodiscard]] Key keyOf(const Item &item) const
    {
        std::set<std::string> accounts;
        for (const auto &[account, count] : held) {
            if (count != 0) {
                accounts.insert(account);
            }
        }
        for (const Item &other : turns) {
            accounts.insert(other.turn.account);
        }
        const unsigned slotsHeld = heldBy(item.turn.account);
        const bool isOver = accounts.size() > 1 && slotsHeld * accounts.size() > slots * shareTolerance;
        const auto group = static_cast<unsigned>(item.turn.group);
        return {isOver, isOver ? slotsHeld : 0, group, item.turn.rank, isOver ? 0 : slotsHeld, item.sequence};
    }

    std::vector<Item> turns;
    std::uint64_t sequence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(turn_queue)

BOOST_AUTO_TEST_CASE(without_shares_turns_go_by_group_rank_and_arrival_whatever_their_account)
{
    TurnQueue queue(false);
    setSlots(queue, 2);
    reserve(queue, "large", 10);
    queue.push(queued("late", "small", TurnGroup::Late));
    queue.push(queued("new-low", "small", TurnGroup::New, 1));
    queue.push(queued("new", "large"));
    queue.push(queued("second", "large", TurnGroup::InProgress));
    queue.push(queued("third", "small", TurnGroup::InProgress));
    BOOST_TEST(!queue.isOverShare(service, "large"));
    BOOST_TEST((drain(queue) == Order {"second", "third", "new", "new-low", "late"}));
}

// Guards against an account that fills the queue and makes all others wait behind it.
BOOST_AUTO_TEST_CASE(accounts_within_their_share_go_before_one_over_it)
{
    TurnQueue queue(true);
    setSlots(queue, 9);
    reserve(queue, "large", 7);
    queue.push(queued("large-in-progress", "large", TurnGroup::InProgress));
    queue.push(queued("large-new", "large"));
    queue.push(queued("a", "small-a", TurnGroup::New, 1));
    queue.push(queued("b", "small-b", TurnGroup::Late));
    BOOST_TEST(queue.fairShare(service) == 3);
    BOOST_TEST(queue.isOverShare(service, "large"));
    BOOST_TEST((drain(queue) == Order {"a", "b", "large-in-progress", "large-new"}));
}

// Guards against urgent turns that wait for less urgent ones because their account holds a slot more.
BOOST_AUTO_TEST_CASE(among_accounts_within_their_share_the_most_urgent_turn_goes_first)
{
    TurnQueue queue(true);
    setSlots(queue, 30);
    reserve(queue, "a", 4);
    reserve(queue, "b", 1);
    queue.push(queued("b-low", "b", TurnGroup::New, 2));
    queue.push(queued("a-urgent", "a", TurnGroup::New, 0));
    queue.push(queued("a-in-progress", "a", TurnGroup::InProgress, 2));
    queue.push(queued("c-urgent", "c", TurnGroup::New, 0));
    BOOST_TEST((drain(queue) == Order {"a-in-progress", "c-urgent", "a-urgent", "b-low"}));
}

BOOST_AUTO_TEST_CASE(among_equal_turns_the_account_with_the_fewest_slots_goes_first)
{
    TurnQueue queue(true);
    setSlots(queue, 100);
    reserve(queue, "a", 2);
    reserve(queue, "b", 1);
    for (const char *turn : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
        queue.push(queued(turn, std::string(1, turn[0])));
    }
    BOOST_TEST((drain(queue) == Order {"c1", "b1", "c2", "a1", "b2", "a2"}));
    // All are over their share now.
    setSlots(queue, 3);
    for (const char *turn : {"b3", "a3", "c3", "c4"}) {
        queue.push(queued(turn, std::string(1, turn[0])));
    }
    queue.onReleased(service, "c");
    BOOST_TEST((drain(queue) == Order {"c3", "c4", "b3", "a3"}));
}

// Guards against a share that stays as it was when accounts or engines come and go.
BOOST_AUTO_TEST_CASE(the_fair_share_follows_the_accounts_and_the_slots)
{
    TurnQueue queue(true);
    setSlots(queue, 8);
    reserve(queue, "a", 7);
    queue.push(queued("a1", "a"));
    BOOST_TEST(!queue.isOverShare(service, "a"));
    queue.push(queued("b1", "b"));
    BOOST_TEST(queue.isOverShare(service, "a"));
    BOOST_TEST(queue.first(service)->turn == "b1");
    setSlots(queue, 10);
    BOOST_TEST(!queue.isOverShare(service, "a"));
    BOOST_TEST(queue.first(service)->turn == "b1");
    setSlots(queue, 4);
    BOOST_TEST(queue.remove("b1"));
    BOOST_TEST(!queue.remove("b1"));
    BOOST_TEST(!queue.isOverShare(service, "a"));
    BOOST_TEST(queue.first(service)->turn == "a1");
    BOOST_TEST(queue.waiting(service) == 1U);
}

// Guards against accounts that are remembered after they hold and want nothing, so that the shares shrink for ever.
BOOST_AUTO_TEST_CASE(accounts_without_slots_and_turns_have_no_share)
{
    TurnQueue queue(true);
    setSlots(queue, 8);
    for (int i = 0; i < 100; ++i) {
        const std::string account = "account" + std::to_string(i);
        queue.onReserved(service, account);
        queue.push(queued("turn" + std::to_string(i), account));
        queue.remove("turn" + std::to_string(i));
        queue.onReleased(service, account);
        BOOST_TEST(queue.held(service, account) == 0U);
    }
    // An unknown release changes nothing.
    queue.onReleased(service, "unknown");
    queue.onReserved(service, "a");
    BOOST_TEST(queue.fairShare(service) == 8);
}

// Guards against turns that are counted as ahead although their account will be over its share before they are placed.
BOOST_AUTO_TEST_CASE(the_turns_ahead_are_those_that_the_order_places_before)
{
    TurnQueue queue(true);
    setSlots(queue, 12);
    reserve(queue, "large", 7);
    for (int i = 0; i < 40; ++i) {
        queue.push(queued("large" + std::to_string(i), "large"));
    }
    const TurnQueue::Outlook small = queue.outlook(queued("s", "small", TurnGroup::New, 1));
    BOOST_TEST(!small.turnClass.isOverShare);
    // The large account is over its share, 1.5 times 6 slots, after three more.
    BOOST_TEST(small.turnsAhead == 3U);
    BOOST_TEST(queue.outlook(queued("s", "small", TurnGroup::New, 0)).turnsAhead == 0U);
    reserve(queue, "small", 1);
    const TurnQueue::Outlook large = queue.outlook(queued("l", "large"));
    BOOST_TEST(large.turnClass.isOverShare);
    BOOST_TEST(large.turnsAhead == 40U);
    BOOST_TEST(queue.outlook(queued("l", "large", TurnGroup::InProgress)).turnsAhead == 0U);
    // Turns beyond the slots have to end first.
    reserve(queue, "small", 7);
    BOOST_TEST(queue.outlook(queued("l", "large", TurnGroup::InProgress)).turnsAhead == 3U);
}

// Guards against an index of accounts that differs from the described order after any history of changes.
BOOST_AUTO_TEST_CASE(the_order_is_that_of_a_search_through_all_turns)
{
    constexpr unsigned seeds = 40;
    constexpr int steps = 600;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random(seed);
        const auto draw
            = [&](unsigned values) { return std::uniform_int_distribution<unsigned>(0, values - 1)(random); };
        TurnQueue queue(true);
        PlainQueue plain;
        std::deque<std::string> holders;
        const unsigned accounts = 1 + draw(6);
        for (int step = 0; step < steps; ++step) {
            const unsigned action = draw(10);
            if (action < 4) {
                const QueuedTurn turn = queued("t" + std::to_string(step), "a" + std::to_string(draw(accounts)),
                                               static_cast<TurnGroup>(draw(3)), draw(3));
                queue.push(turn);
                plain.push(turn);
            } else if (action < 7 && queue.first(service) != nullptr) {
                const QueuedTurn turn = *queue.first(service);
                queue.remove(turn.turn);
                plain.remove(turn.turn);
                queue.onReserved(service, turn.account);
                ++plain.held[turn.account];
                holders.push_back(turn.account);
            } else if (action < 9 && !holders.empty()) {
                queue.onReleased(service, holders.front());
                --plain.held[holders.front()];
                holders.pop_front();
            } else if (draw(8) == 0) {
                plain.slots = 1 + draw(40);
                setSlots(queue, plain.slots);
            }
            const QueuedTurn *expected = plain.first();
            const QueuedTurn *first = queue.first(service);
            BOOST_REQUIRE_EQUAL(expected == nullptr ? "" : expected->turn, first == nullptr ? "" : first->turn);
        }
    }
}

// Guards against other decisions than before where there is only one account.
BOOST_AUTO_TEST_CASE(with_one_account_the_order_is_as_without_shares)
{
    std::mt19937 random(7);
    TurnQueue shared(true);
    TurnQueue plain(false);
    for (TurnQueue *queue : {&shared, &plain}) {
        setSlots(*queue, 20);
    }
    for (int step = 0; step < 5000; ++step) {
        const QueuedTurn *next = shared.first(service);
        if (next != nullptr && random() % 2 == 0) {
            const std::string turn = next->turn;
            BOOST_REQUIRE_EQUAL(turn, plain.first(service)->turn);
            for (TurnQueue *queue : {&shared, &plain}) {
                queue->remove(turn);
                queue->onReserved(service, "only");
            }
            BOOST_REQUIRE(!shared.isOverShare(service, "only"));
        } else {
            const auto group = static_cast<TurnGroup>(random() % 3);
            const unsigned rank = random() % 3;
            shared.push(queued(std::to_string(step), "only", group, rank));
            plain.push(queued(std::to_string(step), "only", group, rank));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
