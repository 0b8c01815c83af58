#include <cardamompost/policy/cp_service_rates.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>
#include <vector>

namespace cardamompost
{

namespace
{

// Shorter streams are dominated by the resolution of the clock and the network.
constexpr Milliseconds minStream {20};
// Difference from the estimate up to which a sample counts, as a factor.
constexpr double maxSampleRatio = 3;
// An engine begins with this many samples of usual speed.
constexpr double priorWeight = 6;
constexpr double maxWeight = 16;
constexpr double maxTokenTimeWeight = 64;
// Engines that differ from the usual speed by less count as usual.
constexpr double usualRatio = 1.2;
// Samples count fully for this long after an engine's last one; then their weight halves in each half-life.
constexpr Milliseconds fullWeightTime {5000};
constexpr Milliseconds weightHalfLife {5000};
constexpr Milliseconds engineLifetime {120'000};
// The median is determined anew after one sample for this many engines.
constexpr std::size_t enginesPerNormalisation = 8;

double clampRatio(double logRatio)
{
    const double limit = std::log(maxSampleRatio);
    return std::clamp(logRatio, -limit, limit);
}

//! 0 within the usual range, continuous at its bounds and unchanged from twice their logarithm, so that an engine
//! whose samples grow old gets its turns back little by little.
double withoutSmallDifferences(double logSlowness)
{
    const double bound = std::log(usualRatio);
    const double size = std::abs(logSlowness);
    if (size <= bound) {
        return 0;
    }
    return std::copysign(std::min(size, 2 * (size - bound)), logSlowness);
}

} // namespace

double ServiceRates::freshness(const Engine &engine, TimePoint now)
{
    const std::chrono::duration<double> age = now - engine.updatedAt - fullWeightTime;
    return age.count() <= 0 ? 1 : std::exp2(-age / std::chrono::duration<double>(weightHalfLife));
}

ServiceRates::TokenTime &ServiceRates::tokenTime(Service &service, unsigned turns, double logTime)
{
    const auto digits = static_cast<unsigned>(std::bit_width(turns));
    const auto [item, isNew] = service.tokenTimes.try_emplace(digits);
    if (isNew) {
        // Begins with the next lower known time, or else the next higher one.
        const auto next = std::next(item);
        if (item != service.tokenTimes.begin()) {
            item->second.logTime = std::prev(item)->second.logTime;
        } else {
            item->second.logTime = next == service.tokenTimes.end() ? logTime : next->second.logTime;
        }
    }
    return item->second;
}

void ServiceRates::record(const ServiceSample &sample, TimePoint now)
{
    if (sample.engine.empty() || sample.streamTokens == 0 || sample.stream < minStream) {
        return;
    }
    const double logTime = std::log(static_cast<double>(sample.stream.count()) / sample.streamTokens);
    Service &service = services_[sample.service];
    Engine &engine = service.engines[sample.engine];
    if (sample.incarnation < engine.incarnation) {
        return;
    }
    if (sample.incarnation > engine.incarnation || engine.weight == 0) {
        engine = {sample.incarnation, 0, priorWeight, now};
    }
    const double fresh = freshness(engine, now);
    engine.logSlowness *= fresh;
    engine.weight = std::min(priorWeight + (engine.weight - priorWeight) * fresh + 1, maxWeight);
    engine.updatedAt = now;
    // The usual time is learned without the engine's own slowness, so that it does not matter which engines run many
    // turns at once and which ones few.
    TokenTime &usual = tokenTime(service, sample.turns, logTime);
    usual.weight = std::min(usual.weight + 1, maxTokenTimeWeight);
    const double difference = logTime - usual.logTime - engine.logSlowness;
    usual.logTime += clampRatio(difference) / usual.weight;
    engine.logSlowness += clampRatio(difference) / engine.weight;
    if (service.samplesToNormalise == 0) {
        normalise(service, now);
        service.samplesToNormalise = service.engines.size() / enginesPerNormalisation;
    } else {
        --service.samplesToNormalise;
    }
}

void ServiceRates::normalise(Service &service, TimePoint now)
{
    std::erase_if(service.engines, [&](const auto &item) { return now - item.second.updatedAt > engineLifetime; });
    //! Slowness and the number of samples that count.
    std::vector<std::pair<double, double>> engines;
    double totalWeight = 0;
    for (const auto &[id, engine] : service.engines) {
        const double fresh = freshness(engine, now);
        engines.emplace_back(engine.logSlowness * fresh, (engine.weight - priorWeight) * fresh);
        totalWeight += engines.back().second;
    }
    std::sort(engines.begin(), engines.end());
    double weightBelow = 0;
    double median = 0;
    for (const auto &[logSlowness, weight] : engines) {
        weightBelow += weight;
        median = logSlowness;
        if (2 * weightBelow >= totalWeight) {
            break;
        }
    }
    for (auto &[id, engine] : service.engines) {
        engine.logSlowness -= median;
    }
    for (auto &[digits, usual] : service.tokenTimes) {
        usual.logTime += median;
    }
}

const ServiceRates::Engine *ServiceRates::find(const std::string &service, const std::string &engine) const
{
    const auto known = services_.find(service);
    if (known == services_.end()) {
        return nullptr;
    }
    const auto found = known->second.engines.find(engine);
    return found == known->second.engines.end() ? nullptr : &found->second;
}

double ServiceRates::slowness(const std::string &service, const std::string &engine, std::uint64_t incarnation,
                              TimePoint now) const
{
    const Engine *known = find(service, engine);
    if (known == nullptr || known->incarnation < incarnation) {
        return 1;
    }
    const double logSlowness = withoutSmallDifferences(known->logSlowness * freshness(*known, now));
    return logSlowness == 0 ? 1 : std::exp(logSlowness);
}

unsigned ServiceRates::samples(const std::string &service, const std::string &engine, TimePoint now) const
{
    const Engine *known = find(service, engine);
    return known == nullptr
        ? 0
        : static_cast<unsigned>(std::lround((known->weight - priorWeight) * freshness(*known, now)));
}

double ServiceRates::millisecondsPerToken(const std::string &service, unsigned turns) const
{
    const auto known = services_.find(service);
    if (known == services_.end() || known->second.tokenTimes.empty()) {
        return 0;
    }
    const auto &times = known->second.tokenTimes;
    const auto after = times.upper_bound(static_cast<unsigned>(std::bit_width(turns)));
    return std::exp((after == times.begin() ? after : std::prev(after))->second.logTime);
}

std::size_t ServiceRates::engineCount() const
{
    std::size_t count = 0;
    for (const auto &[name, service] : services_) {
        count += service.engines.size();
    }
    return count;
}

} // namespace cardamompost
