#ifndef CARDAMOMPOST_CP_SERVICE_RATES_HPP_INCLUDED
#define CARDAMOMPOST_CP_SERVICE_RATES_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace cardamompost
{

//! The stream of one completed turn, as measured by the entry that sent it.
struct ServiceSample {
    std::string service;
    std::string engine;
    //! As BackendServer::incarnation; 0 if unknown.
    std::uint64_t incarnation = 0;
    //! Turns at the engine, itself included; 0 if unknown.
    unsigned turns = 0;
    //! Tokens generated between the first event and the last one, and the time that they took.
    std::uint32_t streamTokens = 0;
    Milliseconds stream {0};
};

//! How fast each engine serves, compared with the other engines of its service.
//!
//! The slowness of an engine is the time that a token takes there as a multiple of what it takes at the service's
//! median engine with as many turns. Single samples have a bounded effect, samples lose their weight with age, and few
//! samples move the slowness little: unknown engines count as usual ones. Differences below a threshold count as none,
//! so that engines of equal speed differ by their load alone. Every member of the ledger applies the samples in
//! the order of the log, so that a new leader knows the rates. Thread-safety: none.
class ServiceRates
{
public:
    void record(const ServiceSample &sample, TimePoint now);

    //! 1 for an engine of usual speed, 2 for one at which tokens take twice as long.
    //! \param incarnation  samples of an earlier one do not count
    [[nodiscard]] double slowness(const std::string &service, const std::string &engine, std::uint64_t incarnation,
                                  TimePoint now) const;
    //! Number of samples that count for the engine's slowness.
    [[nodiscard]] unsigned samples(const std::string &service, const std::string &engine, TimePoint now) const;
    //! Usual time for a generated token with that many turns at the engine; 0 while unknown.
    [[nodiscard]] double millisecondsPerToken(const std::string &service, unsigned turns) const;
    //! Engines with recent samples, of all services.
    [[nodiscard]] std::size_t engineCount() const;

private:
    struct Engine {
        std::uint64_t incarnation = 0;
        //! Logarithm of the slowness, and the number of samples that count for it.
        double logSlowness = 0;
        double weight = 0;
        TimePoint updatedAt {};
    };
    //! Usual time for a token.
    struct TokenTime {
        double logTime = 0;
        double weight = 0;
    };
    struct Service {
        //! By the number of binary digits of the number of turns at the engine.
        std::map<unsigned, TokenTime> tokenTimes;
        std::unordered_map<std::string, Engine> engines;
        std::size_t samplesToNormalise = 0;
    };

    //! Null if unknown.
    [[nodiscard]] const Engine *find(const std::string &service, const std::string &engine) const;
    //! Makes the median engine the usual one and drops engines without recent samples.
    static void normalise(Service &service, TimePoint now);
    //! Share of an engine's samples that still counts.
    [[nodiscard]] static double freshness(const Engine &engine, TimePoint now);
    [[nodiscard]] static TokenTime &tokenTime(Service &service, unsigned turns, double logTime);

    std::unordered_map<std::string, Service> services_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SERVICE_RATES_HPP_INCLUDED
