// Ways to keep an account's limit over many entries, in virtual time: what each refuses of programs that are within the
// limit, and how many messages it needs. Usage: bench_limits [SECONDS]

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

struct Answer {
    bool isAdmitted = false;
    Milliseconds delay {0};
};

//! One way to keep one account's limit.
class Way
{
public:
    virtual ~Way() = default;
    virtual Answer ask(std::size_t entry, bool beginsProgram, TimePoint now) = 0;

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

//! Every request asks the one VM that counts.
class Counted : public Way
{
public:
    Counted(RequestLimit limit, LimitTolerance exactness)
        : limiter_(exactness)
    {
        Account account;
        account.name = "a";
        account.limit = limit;
        limiter_.setLimits({account}, start);
    }
    Answer ask(std::size_t /*entry*/, bool beginsProgram, TimePoint now) override
    {
        countMessage();
        const RequestLimiter::Decision decision = limiter_.admit({"a", std::to_string(++id_), beginsProgram}, now);
        return {decision.isAdmitted, decision.delay};
    }

private:
    RequestLimiter limiter_;
    std::uint64_t id_ = 0;
};

//! Entries borrow small stocks, which end by themselves, from one bucket.
class Lent : public Way
{
public:
    Lent(RequestLimit limit, std::size_t entries)
        : limit_(limit)
        , bucket_(limit.perSecond, std::max(1.0, limit.burst), start)
        , stocks_(entries)
    {
    }
    Answer ask(std::size_t entry, bool /*beginsProgram*/, TimePoint now) override
    {
        Stock &stock = stocks_[entry];
        if (now > stock.until) {
            stock.tokens = 0;
        }
        if (stock.tokens < 1) {
            countMessage();
            // Half a second of the demand that this entry has seen, and the request itself.
            const double seen = std::chrono::duration<double>(now - stock.lastAsked).count();
            const double wanted = 1 + std::floor(std::min(5.0, 0.5 / std::max(seen, 0.05)));
            stock.lastAsked = now;
            for (double i = 0; i < wanted && bucket_.tryTake(1, now); ++i) {
                stock.tokens += 1;
            }
            stock.until = now + stockLife;
        }
        if (stock.tokens < 1) {
            return {};
        }
        stock.tokens -= 1;
        return {true, Milliseconds(0)};
    }

private:
    static constexpr Milliseconds stockLife {1000};
    struct Stock {
        double tokens = 0;
        TimePoint until {};
        TimePoint lastAsked {};
    };
    RequestLimit limit_;
    TokenBucket bucket_;
    std::vector<Stock> stocks_;
};

//! Each entry has an equal share for itself.
class Shared : public Way
{
public:
    Shared(RequestLimit limit, std::size_t entries)
    {
        const auto share = 1 / static_cast<double>(entries);
        for (std::size_t i = 0; i < entries; ++i) {
            buckets_.emplace_back(limit.perSecond * share, std::max(1.0, limit.burst * share), start);
        }
    }
    Answer ask(std::size_t entry, bool /*beginsProgram*/, TimePoint now) override
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

//! Programs of some fifteen requests each at a share of the limit; a program that is refused anything has failed.
class Run
{
public:
    Run(Way &way, RequestLimit limit, double load, std::size_t entries, std::uint64_t seed)
        : way_(way)
        , limit_(limit)
        , load_(load)
        , entries_(entries)
        , random_(seed)
    {
    }

    Outcomes play(Milliseconds length)
    {
        const TimePoint end = start + warmUp + length;
        next_ = start + warmUp;
        while (next_ < end || !events_.empty()) {
            if (events_.empty() || (next_ < end && next_ < events_.top().at)) {
                push(next_, turnsOfAProgram(), true);
                next_ += seconds(
                    std::exponential_distribution<double>(load_ * limit_.perSecond / requestsAProgram)(random_));
                continue;
            }
            const Event event = events_.top();
            events_.pop();
            step(event);
        }
        return result_;
    }

private:
    static constexpr double requestsAProgram = 5.4 * 2.3;
    struct Event {
        TimePoint at;
        int turnsLeft = 0;
        bool isFirst = false;

        friend bool operator<(const Event &left, const Event &right)
        {
            return left.at > right.at;
        }
    };

    static std::chrono::microseconds seconds(double value)
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(value * 1e6) + 1);
    }
    int turnsOfAProgram()
    {
        return random_() % 100 < 57 ? 4 : 7;
    }
    void push(TimePoint at, int turnsLeft, bool isFirst)
    {
        events_.push({at, turnsLeft, isFirst});
    }
    bool send(TimePoint now, bool isFirst)
    {
        ++result_.requests;
        const Answer answer = way_.ask(random_() % entries_, isFirst, now);
        if (answer.isAdmitted) {
            sent_.push_back(now + answer.delay);
            while (sent_.front() + tolerance.window <= now) {
                sent_.pop_front();
            }
            const double allowed
                = (limit_.perSecond * 5 + limit_.burst) * (1 + tolerance.excessShare) + tolerance.excessRequests;
            result_.worstExcess = std::max(result_.worstExcess, static_cast<double>(sent_.size()) - allowed);
        }
        return answer.isAdmitted;
    }
    void step(const Event &event)
    {
        result_.programs += event.isFirst ? 1 : 0;
        // A turn and then its tools: 0.7, 0.4 and 0.2 of each kind in the mean.
        bool isServed = send(event.at, event.isFirst);
        for (const unsigned percent : {70U, 40U, 20U}) {
            if (isServed && random_() % 100 < percent) {
                isServed = send(event.at, false);
            }
        }
        if (!isServed) {
            ++result_.failed;
        } else if (event.turnsLeft > 1) {
            push(event.at + seconds(0.25 + std::exponential_distribution<double>(4)(random_)), event.turnsLeft - 1,
                 false);
        }
    }

    Way &way_;
    RequestLimit limit_;
    double load_;
    std::size_t entries_;
    std::mt19937_64 random_;
    std::priority_queue<Event> events_;
    std::deque<TimePoint> sent_;
    TimePoint next_;
    Outcomes result_;
};

std::unique_ptr<Way> makeWay(std::string_view name, RequestLimit limit, std::size_t entries)
{
    if (name == "counted, window") {
        return std::make_unique<Counted>(limit, tolerance);
    }
    if (name == "counted, bucket") {
        return std::make_unique<Counted>(limit, LimitTolerance {});
    }
    if (name == "lent") {
        return std::make_unique<Lent>(limit, entries);
    }
    return std::make_unique<Shared>(limit, entries);
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
                    const std::unique_ptr<Way> way = makeWay(name, limit, entries);
                    const Outcomes result = Run(*way, limit, load, entries, 1).play(length);
                    fmt::print("{}\t{}\t{}\t{}\t{:.2f}\t{:.2f}\t{:.0f}\n", name, entries, perSecond, load,
                               100.0 * static_cast<double>(result.failed) / static_cast<double>(result.programs),
                               static_cast<double>(way->messages()) / static_cast<double>(result.requests),
                               result.worstExcess);
                }
            }
        }
    }
}
