#include <cardamompost/policy/cp_entry_selection.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <set>

using namespace cardamompost;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr std::size_t maxCount = 64;
constexpr std::size_t minCount = 8;
constexpr std::uint64_t seed = 1;
//! After a change of the answer; all of it shows in the load.
constexpr Milliseconds settlingTime = 10 * EntrySelection::loadSmoothingTime;

using Addresses = std::set<std::string>;

void add(std::vector<EntryEndpoint> &entries, const std::string &domain, std::size_t count, double load = 0)
{
    for (std::size_t i = 0; i < count; ++i) {
        entries.push_back({domain + "-" + std::to_string(i) + ":80", domain, load});
    }
}

std::size_t countIn(const EntryChoice &choice, const std::string &domain)
{
    return static_cast<std::size_t>(
        std::count_if(choice.addresses.begin(), choice.addresses.end(),
                      [&](const std::string &address) { return address.starts_with(domain + "-"); }));
}

Addresses setOf(const EntryChoice &choice)
{
    return {choice.addresses.begin(), choice.addresses.end()};
}

//! Addresses that are in one of the sets only.
std::size_t differences(const Addresses &left, const Addresses &right)
{
    std::vector<std::string> result;
    std::set_symmetric_difference(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(result));
    return result.size();
}

//! Failure domains whose callers spread their demand evenly over the entries that they are told of, in virtual time.
class Demand
{
public:
    struct Domain {
        std::string name;
        std::size_t entries = 0;
        //! Of each entry, in the unit of the demand.
        double capacity = 1;
        std::function<double(double seconds)> demand;
        Addresses told {};
        std::size_t widened = 0;
        std::size_t changes = 0;
        double highestLoad = 0;
        double meanLoad = 0;
    };

    explicit Demand(std::vector<Domain> domains, std::size_t nearEntriesMin = minCount)
        : domains_(std::move(domains))
        , selection_(nearEntriesMin, maxCount, seed)
    {
        for (const Domain &domain : domains_) {
            add(entries_, domain.name, domain.entries);
        }
    }

    //! \param settled  extremes are recorded from this time on
    void run(double seconds, double settled)
    {
        const double until = seconds_ + seconds;
        const double recordFrom = seconds_ + settled;
        for (; seconds_ < until; seconds_ += stepSeconds) {
            std::map<std::string, double> flows;
            for (Domain &domain : domains_) {
                const EntryChoice choice = selection_.select(domain.name, entries_, now());
                const Addresses told = setOf(choice);
                domain.changes += differences(domain.told, told);
                domain.told = told;
                domain.widened = choice.remote;
                const double demand = domain.demand(seconds_);
                for (const std::string &address : told) {
                    flows[address] += demand / static_cast<double>(told.size());
                }
                offered_ += demand;
                near_ += demand * (1 - static_cast<double>(choice.remote) / static_cast<double>(told.size()));
            }
            record(flows, recordFrom);
        }
    }
    void killEntries(const std::string &domain, std::size_t left)
    {
        std::size_t seen = 0;
        std::erase_if(entries_,
                      [&](const EntryEndpoint &entry) { return entry.failureDomain == domain && seen++ >= left; });
    }
    //! Share of the demand that exceeded the capacity of its entry.
    [[nodiscard]] double excessShare() const
    {
        return excess_ / offered_;
    }
    //! Share of the demand that went to entries of its own domain.
    [[nodiscard]] double nearShare() const
    {
        return near_ / offered_;
    }
    Domain &domain(const std::string &name)
    {
        return *std::find_if(domains_.begin(), domains_.end(), [&](const Domain &item) { return item.name == name; });
    }

private:
    static constexpr double stepSeconds = 0.1;
    static constexpr double smoothingSeconds = 1;
    static constexpr double maxLoad = 1.5;

    [[nodiscard]] TimePoint now() const
    {
        return start + std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds_));
    }
    void record(std::map<std::string, double> &flows, double recordFrom)
    {
        std::map<std::string, std::pair<double, std::size_t>> sums;
        for (EntryEndpoint &entry : entries_) {
            Domain &ownDomain = domain(entry.failureDomain);
            const double current = flows[entry.address] / ownDomain.capacity;
            excess_ += std::max(0.0, flows[entry.address] - ownDomain.capacity);
            entry.load += (std::min(current, maxLoad) - entry.load) * stepSeconds / smoothingSeconds;
            sums[ownDomain.name].first += entry.load;
            ++sums[ownDomain.name].second;
            if (seconds_ >= recordFrom) {
                ownDomain.highestLoad = std::max(ownDomain.highestLoad, current);
            }
        }
        for (const auto &[name, sum] : sums) {
            domain(name).meanLoad = sum.first / static_cast<double>(sum.second);
        }
    }

    std::vector<Domain> domains_;
    std::vector<EntryEndpoint> entries_;
    EntrySelection selection_;
    double seconds_ = 0;
    double offered_ = 0;
    double near_ = 0;
    double excess_ = 0;
};

std::function<double(double)> constant(double demand)
{
    return [demand](double) { return demand; };
}

//! Swings by half of its mean.
std::function<double(double)> wave(double mean, double periodSeconds, double phase)
{
    return [=](double seconds) { return mean * (1 + 0.5 * std::sin(2 * M_PI * (seconds / periodSeconds + phase))); };
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_selection)

BOOST_AUTO_TEST_CASE(without_a_minimum_callers_are_told_of_all_entries)
{
    std::vector<EntryEndpoint> entries;
    add(entries, "near", 9, 0.2);
    add(entries, "far", 9, 0.2);
    EntrySelection selection(0, maxCount, seed);
    const EntryChoice choice = selection.select("near", entries, start);
    BOOST_TEST((choice.addresses == addressesFor("near", entries, maxCount, seed)));
    BOOST_TEST(choice.remote == 9U);
}

// Guards against callers that send their turns through another failure domain without need.
BOOST_AUTO_TEST_CASE(callers_of_a_domain_with_enough_entries_are_told_only_of_those)
{
    std::vector<EntryEndpoint> entries;
    add(entries, "near", 9, 0.4);
    add(entries, "far", 9, 0.1);
    EntrySelection selection(minCount, maxCount, seed);
    const EntryChoice choice = selection.select("near", entries, start);
    BOOST_TEST(choice.addresses.size() == 9U);
    BOOST_TEST(countIn(choice, "near") == 9U);
    BOOST_TEST(choice.remote == 0U);
}

BOOST_AUTO_TEST_CASE(callers_of_a_domain_with_few_entries_are_told_of_others_up_to_the_minimum)
{
    std::vector<EntryEndpoint> entries;
    add(entries, "near", 3, 0.1);
    add(entries, "far", 20, 0.1);
    EntrySelection selection(minCount, maxCount, seed);
    const EntryChoice choice = selection.select("near", entries, start);
    BOOST_TEST(choice.addresses.size() == minCount);
    BOOST_TEST(countIn(choice, "near") == 3U);
    // All directories tell the same ones, so that callers keep their connections.
    EntrySelection other(minCount, maxCount, seed + 1);
    BOOST_TEST((other.select("near", entries, start).addresses == choice.addresses));
}

// Guards against callers without entries after the loss of a failure domain, and against filling a few remote ones.
BOOST_AUTO_TEST_CASE(callers_of_a_dead_domain_are_told_of_all_others_and_return_gradually)
{
    std::vector<EntryEndpoint> entries;
    add(entries, "near", 9, 0.3);
    add(entries, "far", 9, 0.3);
    add(entries, "away", 12, 0.3);
    EntrySelection selection(minCount, maxCount, seed);
    BOOST_TEST(selection.select("near", entries, start).remote == 0U);
    const std::vector<EntryEndpoint> others(entries.begin() + 9, entries.end());
    BOOST_TEST(selection.select("near", others, start).addresses.size() == 21U);
    BOOST_TEST(selection.select("never-seen", others, start).addresses.size() == 21U);
    // One entry is back, and must not get all callers at once.
    std::vector<EntryEndpoint> oneBack(entries.begin() + 8, entries.end());
    BOOST_TEST(selection.select("near", oneBack, start + Milliseconds(100)).remote == 21U);
    TimePoint now = start;
    std::size_t before = 21;
    for (int i = 0; i < 60; ++i) {
        now += EntrySelection::narrowInterval;
        const std::size_t remote = selection.select("near", entries, now).remote;
        BOOST_TEST(remote <= before);
        BOOST_TEST(before - remote <= 6U);
        before = remote;
    }
    BOOST_TEST(before == 0U);
}

// Guards against directories that together leave out some entries to callers without near ones.
BOOST_AUTO_TEST_CASE(directories_together_list_all_entries_to_callers_without_near_ones)
{
    std::vector<EntryEndpoint> entries;
    add(entries, "far", 150, 0.3);
    Addresses listed;
    for (std::uint64_t directory = 0; directory < 25; ++directory) {
        EntrySelection selection(minCount, maxCount, directory);
        const EntryChoice choice = selection.select("near", entries, start);
        BOOST_TEST(choice.addresses.size() == maxCount);
        listed.merge(setOf(choice));
    }
    BOOST_TEST(listed.size() == 150U);
}

// Guards against a hot domain that fills while others idle.
BOOST_AUTO_TEST_CASE(a_hot_domain_is_widened_until_its_load_is_at_the_target)
{
    Demand demand(
        {{"near", 9, 1, constant(9 * 0.8)}, {"far", 9, 1, constant(9 * 0.2)}, {"away", 9, 1, constant(9 * 0.2)}});
    demand.run(60, 30);
    const Demand::Domain &near = demand.domain("near");
    BOOST_TEST(near.meanLoad <= EntrySelection::targetLoad * EntrySelection::widenAbove);
    BOOST_TEST(near.meanLoad >= EntrySelection::targetLoad * EntrySelection::narrowBelow);
    BOOST_TEST(near.widened >= 4U);
    BOOST_TEST(near.widened <= 9U);
    // Not all remote entries.
    BOOST_TEST(demand.domain("far").widened == 0U);
    BOOST_TEST(demand.domain("away").widened == 0U);
}

// Guards against remote entries that stay after the demand has passed.
BOOST_AUTO_TEST_CASE(a_widened_domain_narrows_once_its_demand_has_passed)
{
    Demand demand({{"near", 9, 1, [](double seconds) { return 9 * (seconds < 30 ? 0.8 : 0.2); }},
                   {"far", 9, 1, constant(9 * 0.2)},
                   {"away", 9, 1, constant(9 * 0.2)}});
    demand.run(30, 30);
    BOOST_TEST(demand.domain("near").widened >= 4U);
    demand.run(60, 60);
    BOOST_TEST(demand.domain("near").widened == 0U);
    BOOST_TEST(demand.domain("near").changes <= 9U + 2 * 9U);
}

// Guards against answers that change back and forth, since callers drop connections to addresses that vanish.
BOOST_AUTO_TEST_CASE(loads_within_the_hysteresis_change_nothing)
{
    std::vector<EntryEndpoint> entries;
    add(entries, "near", 9, 0.8);
    add(entries, "far", 30, 0.2);
    EntrySelection selection(minCount, maxCount, seed);
    TimePoint now = start;
    const auto setNearLoad = [&](double load) {
        for (EntryEndpoint &entry : entries) {
            entry.load = entry.failureDomain == "near" ? load : entry.load;
        }
    };
    BOOST_TEST(selection.select("near", entries, now).remote > 0U);
    setNearLoad(EntrySelection::targetLoad);
    now += std::chrono::minutes(1);
    const Addresses told = setOf(selection.select("near", entries, now));
    for (int i = 0; i < 100; ++i) {
        now += EntrySelection::narrowInterval;
        setNearLoad(EntrySelection::targetLoad * (i % 2 == 0 ? 0.82 : 1.08));
        BOOST_TEST(differences(told, setOf(selection.select("near", entries, now))) == 0U);
    }
}

// Guards against a change by one entry that moves the callers of many.
BOOST_AUTO_TEST_CASE(a_wider_answer_keeps_the_entries_of_the_narrower_one)
{
    std::vector<EntryEndpoint> entries;
    add(entries, "near", 9, 0.56);
    add(entries, "far", 30, 0.2);
    add(entries, "away", 30, 0.1);
    EntrySelection selection(minCount, maxCount, seed);
    TimePoint now = start;
    Addresses before = setOf(selection.select("near", entries, now));
    for (int i = 0; i < 10; ++i) {
        now += settlingTime;
        const Addresses after = setOf(selection.select("near", entries, now));
        BOOST_TEST(std::includes(after.begin(), after.end(), before.begin(), before.end()));
        BOOST_TEST(after.size() > before.size());
        BOOST_TEST(after.size() <= before.size() * 1.2 + 1);
        before = after;
    }
    // An entry that starts or is lost changes at most its own place and the one that takes it.
    std::vector<EntryEndpoint> fewer = entries;
    fewer.erase(fewer.begin() + 15);
    BOOST_TEST(differences(before, setOf(selection.select("near", fewer, now))) <= 2U);
}

BOOST_AUTO_TEST_CASE(remote_entries_are_preferably_in_the_least_loaded_domains)
{
    std::vector<EntryEndpoint> entries;
    add(entries, "near", 20, 1);
    add(entries, "full", 20, 0.8);
    add(entries, "busy", 20, 0.4);
    add(entries, "idle", 20, 0.05);
    EntrySelection selection(minCount, maxCount, seed);
    const EntryChoice choice = selection.select("near", entries, start);
    BOOST_TEST(countIn(choice, "near") == 20U);
    BOOST_TEST(countIn(choice, "idle") > countIn(choice, "busy"));
    BOOST_TEST(countIn(choice, "busy") > countIn(choice, "full"));
    BOOST_TEST(countIn(choice, "idle") > 3 * countIn(choice, "full"));
}

// Guards against callers that are sent back and forth between domains that are all full.
BOOST_AUTO_TEST_CASE(domains_that_are_all_equally_loaded_are_not_widened)
{
    Demand demand({{"a", 9, 1, constant(9 * 0.9)}, {"b", 9, 1, constant(9 * 0.9)}, {"c", 9, 1, constant(9 * 0.9)}});
    demand.run(60, 0);
    for (const char *name : {"a", "b", "c"}) {
        BOOST_TEST(demand.domain(name).widened == 0U);
    }
}

// Guards against entries of an older version, or just started, that count as idle or as full.
BOOST_AUTO_TEST_CASE(unknown_loads_neither_widen_nor_count_in_the_mean)
{
    std::vector<EntryEndpoint> unknown;
    add(unknown, "near", 9);
    add(unknown, "far", 9);
    EntrySelection selection(minCount, maxCount, seed);
    BOOST_TEST(selection.select("near", unknown, start).remote == 0U);
    std::vector<EntryEndpoint> entries;
    add(entries, "near", 9, 0.7);
    add(entries, "far", 90);
    // Counted as idle, they would lower the mean; the target is the mean of the known loads, which is that of "near".
    BOOST_TEST(selection.select("near", entries, start).remote == 0U);
    add(entries, "away", 9, 0.1);
    const EntryChoice choice = selection.select("near", entries, start);
    BOOST_TEST(choice.remote > 0U);
    BOOST_TEST(choice.load == 0.7, boost::test_tools::tolerance(1e-9));
}

// Guards against small entries that fill because callers of all domains are equally many.
BOOST_AUTO_TEST_CASE(a_domain_of_small_entries_spills_to_one_of_large_entries)
{
    // The small entries alone would need 1.5 of their capacity.
    Demand demand({{"small", 8, 0.09, constant(8 * 0.09 * 1.5)}, {"large", 12, 0.3, constant(12 * 0.3 * 0.28)}});
    demand.run(80, 40);
    BOOST_TEST(demand.domain("small").highestLoad <= 0.75);
    BOOST_TEST(demand.domain("large").highestLoad <= 0.75);
    BOOST_TEST(demand.domain("large").widened == 0U);
}

// Guards against a domain that loses most of its entries and is left with the callers of all.
BOOST_AUTO_TEST_CASE(the_callers_of_lost_entries_are_spread_over_other_domains)
{
    Demand demand(
        {{"near", 9, 1, constant(9 * 0.4)}, {"far", 9, 1, constant(9 * 0.2)}, {"away", 9, 1, constant(9 * 0.2)}});
    demand.run(20, 20);
    BOOST_TEST(demand.domain("near").widened == 0U);
    demand.killEntries("near", 3);
    demand.run(30, 15);
    BOOST_TEST(demand.domain("near").highestLoad <= 0.7);
    BOOST_TEST(demand.domain("far").highestLoad <= 0.7);
    BOOST_TEST(demand.domain("away").highestLoad <= 0.7);
}

// Guards against remote entries that are filled by the callers of one domain while others idle, and against answers
// that alternate between two domains as each fills.
BOOST_AUTO_TEST_CASE(a_hot_domain_is_spread_over_so_many_remote_entries_that_none_of_them_fills)
{
    Demand demand(
        {{"near", 9, 1, constant(9 * 0.9)}, {"far", 12, 1, constant(12 * 0.35)}, {"away", 12, 1, constant(12 * 0.35)}});
    demand.run(60, 30);
    for (const char *name : {"near", "far", "away"}) {
        BOOST_TEST(demand.domain(name).highestLoad <= 0.8);
    }
    BOOST_TEST(demand.domain("near").changes <= 60U);
}

// Guards against oscillation, and against overload, where the demand of two domains crosses.
BOOST_AUTO_TEST_CASE(crossing_waves_of_demand_change_few_entries_and_fill_none)
{
    constexpr double periodSeconds = 40;
    constexpr int periods = 5;
    Demand demand({{"a", 12, 1, wave(12 * 0.5, periodSeconds, 0)}, {"b", 12, 1, wave(12 * 0.5, periodSeconds, 0.5)}});
    demand.run(periodSeconds, periodSeconds);
    for (const char *name : {"a", "b"}) {
        demand.domain(name).changes = 0;
    }
    demand.run(periodSeconds * (periods - 1), 0);
    for (const char *name : {"a", "b"}) {
        // A peak of 0.75 of the capacity needs six remote entries, which come and go once a period.
        BOOST_TEST(demand.domain(name).changes <= (periods - 1) * 2 * 9U);
        BOOST_TEST(demand.domain(name).highestLoad <= 0.72);
    }
}

// Guards against hot domains that all send their callers to the same cold one and then leave it together, which changes
// most answers every few seconds and fills entries that would not be full if all callers were told of all.
BOOST_AUTO_TEST_CASE(demand_that_moves_between_many_domains_changes_few_entries_and_fills_few)
{
    constexpr double seconds = 120;
    constexpr std::size_t domainCount = 6;
    double nearShares = 0;
    double nearSharesOfAll = 0;
    for (std::uint64_t scenario = 1; scenario <= 10; ++scenario) {
        std::mt19937_64 random(scenario);
        const auto draw
            = [&](double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); };
        std::vector<Demand::Domain> domains;
        for (std::size_t i = 0; i < domainCount; ++i) {
            const auto entries = static_cast<std::size_t>(draw(3, 11));
            const double capacity = draw(0.09, 0.3);
            const double mean = static_cast<double>(entries) * capacity * draw(0.15, scenario % 2 == 0 ? 0.45 : 0.9);
            const auto swing = wave(mean, draw(15, 60), draw(0, 1));
            const double burstFrom = draw(0, seconds);
            const double burstUntil = burstFrom + draw(5, 20);
            domains.push_back({"d" + std::to_string(i), entries, capacity, [=](double time) {
                                   return swing(time) * (time > burstFrom && time < burstUntil ? 2 : 1);
                               }});
        }
        Demand all(domains, 0);
        all.run(seconds, 0);
        Demand selected(domains);
        selected.run(seconds, 0);
        BOOST_TEST_MESSAGE("scenario " << scenario << ": excess " << all.excessShare() << " -> "
                                       << selected.excessShare() << ", near " << all.nearShare() << " -> "
                                       << selected.nearShare());
        BOOST_TEST(selected.excessShare() <= all.excessShare() + 0.01);
        BOOST_TEST(selected.nearShare() > all.nearShare());
        nearShares += selected.nearShare();
        nearSharesOfAll += all.nearShare();
        for (const Demand::Domain &domain : domains) {
            BOOST_TEST(selected.domain(domain.name).changes <= 150U);
        }
    }
    BOOST_TEST(nearShares >= 2 * nearSharesOfAll);
}

BOOST_AUTO_TEST_CASE(near_and_remote_entries_keep_their_ratio_if_there_are_too_many_to_tell)
{
    std::vector<EntryEndpoint> entries;
    add(entries, "near", 100, 0.9);
    add(entries, "far", 100, 0.05);
    EntrySelection selection(minCount, maxCount, seed);
    const EntryChoice choice = selection.select("near", entries, start);
    BOOST_TEST(choice.addresses.size() == maxCount);
    BOOST_TEST(choice.remote >= 20U);
    BOOST_TEST(choice.remote <= 32U);
}

BOOST_AUTO_TEST_SUITE_END()
