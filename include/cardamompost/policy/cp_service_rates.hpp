#ifndef CARDAMOMPOST_CP_SERVICE_RATES_HPP_INCLUDED
#define CARDAMOMPOST_CP_SERVICE_RATES_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace cardamompost
{

//! One completed turn, as measured by the entry that sent it.
struct ServiceSample {
    std::string service;
    std::string engine;
    //! As BackendServer::incarnation; 0 if unknown.
    std::uint64_t incarnation = 0;
    //! Turns at the engine while it ran, itself included; 0 if unknown.
    unsigned turns = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    Milliseconds toFirstEvent {0};
    Milliseconds stream {0};
};

//! How fast each engine serves, compared with the other engines of its service.
//!
//! The slowness of an engine is the time that a token takes there as a multiple of what it takes at the service's other
//! engines with as many turns. Single samples have a bounded effect, samples lose their weight with age, and few
//! samples move the slowness little: unknown engines count as usual ones. Differences below a threshold count as none,
//! so that engines of equal speed are told apart by their load alone. Every member of the ledger applies the samples in
//! the order of the log, so that a new leader knows the rates. Thread-safety: none.
class ServiceRates
{
public:
    void record(const ServiceSample &sample, TimePoint now);
    //! Forgets an engine that left, or restarted under its id.
    void forget(const std::string &service, const std::string &engine);

    //! 1 for an engine of usual speed, 2 for one at which turns take twice as long.
    [[nodiscard]] double slowness(const std::string &service, const std::string &engine, TimePoint now) const;
    //! Usual time for a generated token with that many turns at the engine; 0 while unknown.
    [[nodiscard]] double millisecondsPerToken(const std::string &service, unsigned turns) const;

private:
    struct Engine {
        std::uint64_t incarnation = 0;
        //! Mean logarithm of the relative time, and the weight of its samples.
        double logSlowness = 0;
        double weight = 0;
        TimePoint updatedAt {};
    };
    struct Service {
        //! Usual time for a token, by the number of turns at the engine.
        std::unordered_map<unsigned, double> tokenTimes;
        std::unordered_map<std::string, Engine> engines;
    };

    std::unordered_map<std::string, Service> services_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SERVICE_RATES_HPP_INCLUDED
