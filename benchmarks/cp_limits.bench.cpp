// Compares strategies that enforce an account's limit across many entries, in virtual time: share of refused programs
// and messages per request. Usage: bench_limits [SECONDS]

#include <cardamompost/limits/cp_request_limiter.hpp>
#include <cardamompost/limits/cp_token_bucket.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace
{

using namespace cardamompost;

constexpr LimitTolerance tolerance {Milliseconds(5000), 0.1, 20};
constexpr TimePoint start {std::chrono::hours(1)};
constexpr Milliseconds warmUp {10'000};

struct Admission {
    bool isAdmitted = false;
    Milliseconds delay {0};
};

//! Enforces the limit of one account across all entries.
class LimitStrategy
{
public:
    virtual ~LimitStrategy() = default;
    virtual Admission admit(std::size_t entry, bool beginsProgram, TimePoint now) = 0;

    [[nodiscard]] std::uint64_t messages() const
    {
        return messages_;
    }

protected:
    void countMessage()
    {
        ++messages_;
    }

private:
    std::uint64_t messages_ = 0;
};

//! Each request is sent to one VM, which counts centrally.
class CentralCounter : public LimitStrategy
{
public:
    CentralCounter(RequestLimit limit, LimitTolerance counterTolerance)
        : limiter_(counterTolerance)
    {
        Account account;
        account.name = "a";
        account.limit = limit;
        limiter_.setLimits({account}, start);
    }
    Admission admit(std::size_t /*entry*/, bool beginsProgram, TimePoint now) override
    {
        countMessage();
        const RequestLimiter::Decision decision = limiter_.admit({"a", std::to_string(++id_), beginsProgram}, now);
        return {decision.isAdmitted, decision.delay};
    }

private:
    RequestLimiter limiter_;
    std::uint64_t id_ = 0;
};

//! Entries lease tokens from one central bucket; leased tokens expire.
class TokenLeasing : public LimitStrategy
{
public:
    TokenLeasing(RequestLimit limit, std::size_t entries)
        : limit_(limit)
        , bucket_(limit.perSecond, std::max(1.0, limit.burst), start)
        , leases_(entries)
    {
    }
    Admission admit(std::size_t entry, bool /*beginsProgram*/, TimePoint now) override
    {
        Lease &lease = leases_[entry];
        if (now > lease.expiry) {
            lease.tokens = 0;
        }
        if (lease.tokens < 1) {
            countMessage();
            // Requests one token plus up to half a second of the entry's recent demand.
            const double secondsSinceRequest = std::chrono::duration<double>(now - lease.lastRequest).count();
            const double requested = 1 + std::floor(std::min(5.0, 0.5 / std::max(secondsSinceRequest, 0.05)));
            lease.lastRequest = now;
            for (double i = 0; i < requested && bucket_.tryTake(1, now); ++i) {
                lease.tokens += 1;
            }
            lease.expiry = now + leaseDuration;
        }
        if (lease.tokens < 1) {
            return {};
        }
        lease.tokens -= 1;
        return {true, Milliseconds(0)};
    }

private:
    static constexpr Milliseconds leaseDuration {1000};
    struct Lease {
        double tokens = 0;
        TimePoint expiry {};
        TimePoint lastRequest {};
    };
    RequestLimit limit_;
    TokenBucket bucket_;
    std::vector<Lease> leases_;
};

//! Each entry has its own bucket with an equal share of the limit.
class EqualShares : public LimitStrategy
{
public:
    EqualShares(RequestLimit limit, std::size_t entries)
    {
        const auto share = 1 / static_cast<double>(entries);
        for (std::size_t i = 0; i < entries; ++i) {
            buckets_.emplace_back(limit.perSecond * share, std::max(1.0, limit.burst * share), start);
        }
    }
    Admission admit(std::size_t entry, bool /*beginsProgram*/, TimePoint now) override
    {
        return {buckets_[entry].tryTake(1, now), Milliseconds(0)};
    }

private:
    std::vector<TokenBucket> buckets_;
};

struct Outcomes {
    std::uint64_t programs = 0;
    std::uint64_t failed = 0;
    std::uint64_t requests = 0;
    double worstExcess = 0;
};

//! Simulates programs of several requests each at `load` times the limit. A program fails at its first refused request.
class Simulation
{
public:
    Simulation(LimitStrategy &strategy, RequestLimit limit, double load, std::size_t entries, std::uint64_t seed)
        : strategy_(strategy)
        , limit_(limit)
        , load_(load)
        , entries_(entries)
        , random_(seed)
    {
    }

    Outcomes run(Milliseconds length)
    {
        const TimePoint end = start + warmUp + length;
        nextArrival_ = start + warmUp;
        while (nextArrival_ < end || !events_.empty()) {
            if (events_.empty() || (nextArrival_ < end && nextArrival_ < events_.top().at)) {
                schedule(nextArrival_, drawTurns(), true);
                nextArrival_ += toMicroseconds(
                    std::exponential_distribution<double>(load_ * limit_.perSecond / requestsPerProgram)(random_));
                continue;
            }
            const Event event = events_.top();
            events_.pop();
            step(event);
        }
        return result_;
    }

private:
    static constexpr double requestsPerProgram = 5.4 * 2.3;
    struct Event {
        TimePoint at;
        int turnsLeft = 0;
        bool beginsProgram = false;

        friend bool operator<(const Event &left, const Event &right)
        {
            return left.at > right.at;
        }
    };

    static std::chrono::microseconds toMicroseconds(double seconds)
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6) + 1);
    }
    int drawTurns()
    {
        return random_() % 100 < 57 ? 4 : 7;
    }
    void schedule(TimePoint at, int turnsLeft, bool beginsProgram)
    {
        events_.push({at, turnsLeft, beginsProgram});
    }
    bool send(TimePoint now, bool beginsProgram)
    {
        ++result_.requests;
        const Admission admission = strategy_.admit(random_() % entries_, beginsProgram, now);
        if (admission.isAdmitted) {
            admittedTimes_.push_back(now + admission.delay);
            while (admittedTimes_.front() + tolerance.window <= now) {
                admittedTimes_.pop_front();
            }
            const double allowed
                = (limit_.perSecond * 5 + limit_.burst) * (1 + tolerance.excessShare) + tolerance.excessRequests;
            result_.worstExcess = std::max(result_.worstExcess, static_cast<double>(admittedTimes_.size()) - allowed);
        }
        return admission.isAdmitted;
    }
    void step(const Event &event)
    {
        result_.programs += event.beginsProgram ? 1 : 0;
        // One turn followed by up to three tool calls, each with its own probability.
        bool isServed = send(event.at, event.beginsProgram);
        for (const unsigned percent : {70U, 40U, 20U}) {
            if (isServed && random_() % 100 < percent) {
                isServed = send(event.at, false);
            }
        }
        if (!isServed) {
            ++result_.failed;
        } else if (event.turnsLeft > 1) {
            schedule(event.at + toMicroseconds(0.25 + std::exponential_distribution<double>(4)(random_)),
                     event.turnsLeft - 1, false);
        }
    }

    LimitStrategy &strategy_;
    RequestLimit limit_;
    double load_;
    std::size_t entries_;
    std::mt19937_64 random_;
    std::priority_queue<Event> events_;
    std::deque<TimePoint> admittedTimes_;
    TimePoint nextArrival_;
    Outcomes result_;
};

std::unique_ptr<LimitStrategy> makeStrategy(std::string_view name, RequestLimit limit, std::size_t entries)
{
    if (name == "counted, window") {
        return std::make_unique<CentralCounter>(limit, tolerance);
    }
    if (name == "counted, bucket") {
        return std::make_unique<CentralCounter>(limit, LimitTolerance {});
    }
    if (name == "lent") {
        return std::make_unique<TokenLeasing>(limit, entries);
    }
    return std::make_unique<EqualShares>(limit, entries);
}

} // namespace

int main(int argc, char **argv)
{
    const Milliseconds length(1000 * (argc > 1 ? std::atoi(argv[1]) : 200));
    fmt::print("way\tentries\tper_second\tload\tprograms_failed_percent\tmessages_a_request\tworst_excess\n");
    for (const std::size_t entries : {57U, 255U}) {
        for (const double perSecond : {12.0, 60.0, 350.0}) {
            for (const double load : {0.625, 0.8, 1.0, 4.0}) {
                for (const std::string_view name : {"counted, window", "counted, bucket", "lent", "equal shares"}) {
                    const RequestLimit limit {perSecond, perSecond};
                    const std::unique_ptr<LimitStrategy> strategy = makeStrategy(name, limit, entries);
                    const Outcomes result = Simulation(*strategy, limit, load, entries, 1).run(length);
                    fmt::print("{}\t{}\t{}\t{}\t{:.2f}\t{:.2f}\t{:.0f}\n", name, entries, perSecond, load,
                               100.0 * static_cast<double>(result.failed) / static_cast<double>(result.programs),
                               static_cast<double>(strategy->messages()) / static_cast<double>(result.requests),
                               result.worstExcess);
                }
            }
        }
    }
}
