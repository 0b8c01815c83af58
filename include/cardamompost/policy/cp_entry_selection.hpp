#ifndef CARDAMOMPOST_CP_ENTRY_SELECTION_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENTRY_SELECTION_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompost
{

//! An entry that accepts requests.
struct EntryEndpoint {
    std::string address;
    std::string failureDomain;
    //! Share of the entry's capacity in use; above 1 if requests wait for the processor, 0 if unknown.
    double load = 0;
};

//! The entries in a directory response.
struct EntryChoice {
    //! Those in the caller's failure domain first.
    std::vector<std::string> addresses;
    //! How many of them are in other failure domains.
    std::size_t remote = 0;
    //! This choice has more or fewer remote entries, by load, than the one before.
    bool hasChanged = false;
    //! Mean load of the entries in the caller's failure domain; 0 if unknown.
    double load = 0;
};

//! Selects the entries that directory responses to callers of a failure domain list.
//!
//! All of their own failure domain; others up to a minimum in total, or while the domain is loaded above both the
//! target load and the mean of all entries. Callers choose at random among those they are told of, so remote entries
//! take their share of the callers' requests. A failure domain without entries gets all others.
//! Thread-safety: none. Time is an argument; no input or output.
class EntrySelection
{
public:
    //! Load up to which callers stay in their failure domain, as a share of the entries' capacity.
    static constexpr double targetLoad = 0.5;
    //! Remote entries are added above, and removed below these multiples of the target.
    static constexpr double widenAbove = 1.1;
    static constexpr double narrowBelow = 0.8;
    //! Minimum time after a change of a domain's remote entries, until it shows in the reported load.
    static constexpr Milliseconds widenInterval {1000};
    static constexpr Milliseconds narrowInterval {3000};
    //! Minimum time between changes of how much a domain's entries are preferred by others.
    static constexpr Milliseconds rateInterval {3000};

    //! Time constant with which reported loads have to be smoothed.
    static constexpr Milliseconds loadSmoothingTime {1000};

    //! \param nearEntriesMin  minimum number of entries to tell; 0 to tell all
    //! \param maxCount  maximum number of entries to tell
    //! \param seed  selects the near entries if there are more than maxCount
    EntrySelection(std::size_t nearEntriesMin, std::size_t maxCount, std::uint64_t seed);

    //! \param ready  all entries that accept requests
    [[nodiscard]] EntryChoice select(std::string_view failureDomain, const std::vector<EntryEndpoint> &ready,
                                     TimePoint now);

private:
    struct Domain {
        //! Remote entries listed because of its load.
        std::size_t widened = 0;
        TimePoint changedAt {};
        //! Share of the domain's requests that each listed entry gets, smoothed.
        double share = 0;
        TimePoint recordedAt {};
        //! How much its entries are preferred for callers of other domains; 0 while it is above the target.
        unsigned spareLevel = 0;
        TimePoint ratedAt {};
        //! The domain had a spare level before.
        bool isRated = false;
    };
    //! Sums over the reported loads.
    struct LoadSum {
        double load = 0;
        std::size_t count = 0;

        [[nodiscard]] double mean() const
        {
            return count == 0 ? 0 : load / static_cast<double>(count);
        }
    };
    //! What the number of remote entries of a domain's callers depends on.
    struct Situation {
        std::size_t near = 0;
        std::size_t remote = 0;
        //! Remote entries listed.
        std::size_t toldRemote = 0;
        //! Remote entries in domains below the target.
        std::size_t spare = 0;
        //! Mean loads of the near and of the listed remote entries, as multiples of what is accepted.
        double nearLoad = 0;
        double remoteLoad = 0;
    };
    struct Loads {
        std::map<std::string_view, LoadSum> byDomain;
        double target = targetLoad;
    };

    [[nodiscard]] static Loads loadsOf(const std::vector<EntryEndpoint> &ready);
    void rate(const Loads &loads, TimePoint now);
    //! Sorts the preferred ones first. \returns how many are in domains below the target
    std::size_t sortRemote(std::vector<const EntryEndpoint *> &remote, std::uint64_t seed) const;
    //! \returns true if the number of remote entries has changed
    bool adapt(Domain &domain, const Situation &situation, TimePoint now) const;
    //! Mean load of the first remote entries; 0 if unknown.
    [[nodiscard]] static double loadOfPreferred(const std::vector<const EntryEndpoint *> &remote, std::size_t count);
    static void recordTold(Domain &domain, std::size_t told, TimePoint now);
    [[nodiscard]] std::size_t minRemote(std::size_t near) const;

    std::size_t nearEntriesMin_;
    std::size_t maxCount_;
    std::uint64_t seed_;
    //! Only domains that have or had entries.
    std::map<std::string, Domain, std::less<>> domains_;
};

//! At most maxCount addresses of entries, those in the given failure domain first.
//! \param seed  selects the entries if there are more, so that directories with different seeds list different ones
[[nodiscard]] std::vector<std::string> addressesFor(std::string_view failureDomain,
                                                    const std::vector<EntryEndpoint> &entries, std::size_t maxCount,
                                                    std::uint64_t seed);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ENTRY_SELECTION_HPP_INCLUDED
