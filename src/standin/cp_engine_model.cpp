#include "cp_engine_model.hpp"

#include <cardamompost/core/cp_ids.hpp>

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace cardamompost::standin
{

namespace json = boost::json;

namespace
{

constexpr std::size_t maxCalls = 20'000;
constexpr std::size_t maxCancelled = 20'000;
constexpr std::size_t maxEvents = 10'000;
constexpr std::size_t maxLoads = 1'000;
constexpr std::int64_t messageTokens = 4;

constexpr std::array<std::string_view, 24> vocabulary {
    "hold",  "two",   "trim",   "ballast", "berth",  "grain", "clinker", "draft", "survey", "gate", "bank", "stand",
    "crane", "hatch", "loaded", "level",   "before", "after", "check",   "plan",  "shift",  "port", "aft",  "forward"};

Milliseconds toTime(double ms)
{
    return Milliseconds(static_cast<std::int64_t>(std::max(1.0, ms)));
}

std::string contentOf(const json::value &message)
{
    const json::value &content = message.at("content");
    return content.is_string() ? std::string(content.as_string()) : json::serialize(content);
}

// The same prompt always gets the same answer, so that a resumed or repeated generation can be compared.
std::vector<std::string> makeAnswer(std::uint64_t identity, std::int64_t maxTokens)
{
    std::vector<std::string> words;
    const std::int64_t length = std::min<std::int64_t>(maxTokens, 20 + static_cast<std::int64_t>(identity % 60));
    for (std::int64_t i = 0; i < length; ++i) {
        const std::uint64_t pick = stableHash(std::to_string(i), identity);
        words.push_back(fmt::format("{}{}", i == 0 ? "" : " ", vocabulary[pick % vocabulary.size()]));
    }
    return words;
}

} // namespace

std::int64_t countTokens(const std::string &text)
{
    std::int64_t tokens = 0;
    bool inWord = false;
    for (const char c : text) {
        const bool isUninitialized = c == ' ' || c == '\n' || c == '\t';
        tokens += !isUninitialized && !inWord ? 1 : 0;
        inWord = !isUninitialized;
    }
    return tokens;
}

EngineModel::EngineModel(EngineSettings settings, std::uint64_t seed)
    : settings_(settings)
    , random_(seed)
{
}

bool EngineModel::submit(EngineCall call, const json::array &messages, TimePoint now)
{
    if (cancelledBefore_.contains(call.id)) {
        return false;
    }
    if (calls_.contains(call.id)) {
        return true;
    }
    if (faults.refuses || faults.isLeaving) {
        return false;
    }
    std::uint64_t identity = 0;
    for (const json::value &message : messages) {
        const std::string content = contentOf(message);
        identity = stableHash(content, stableHash(std::string(message.at("role").as_string()), identity));
        call.promptTokens += countTokens(content) + messageTokens;
        call.prefixes.emplace_back(identity, call.promptTokens);
    }
    call.arrived = now;
    call.words = makeAnswer(identity, call.maxTokens);
    order_.push_back(call.id);
    const auto place = calls_.emplace(call.id, std::move(call)).first;
    active_.emplace(place->first, &place->second);
    while (order_.size() > maxCalls && calls_.at(order_.front()).isDone) {
        calls_.erase(order_.front());
        order_.pop_front();
    }
    run(now);
    return true;
}

const EngineCall *EngineModel::find(const std::string &id) const
{
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
}

void EngineModel::cancel(const std::string &id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        // Remembered, so that an attempt that arrives after its cancellation is refused.
        cancelledBefore_.insert(id);
        if (cancelledBefore_.size() > maxCancelled) {
            cancelledBefore_.erase(cancelledBefore_.begin());
        }
        return;
    }
    EngineCall &call = found->second;
    call.isCancelled = call.isCancelled || !call.isDone;
    call.isDone = true;
    call.isRunning = false;
    active_.erase(call.id);
}

int EngineModel::countRunning() const
{
    return static_cast<int>(
        std::count_if(active_.begin(), active_.end(), [](const auto &item) { return item.second->isRunning; }));
}

Milliseconds EngineModel::decodeTime() const
{
    const double slowdown = 1.0 + settings_.batchSlowdown * std::max(0, countRunning() - 1);
    return toTime(settings_.decodeMsPerToken * slowdown * faults.slowFactor);
}

void EngineModel::startWaiting(TimePoint now)
{
    int running = countRunning();
    while (running < settings_.slots && !faults.hangs) {
        EngineCall *next = nullptr;
        for (const auto &[id, call] : active_) {
            const auto place = [](const EngineCall &c) { return std::tuple(c.priority, c.arrived, c.id); };
            if (!call->isRunning && (next == nullptr || place(*call) < place(*next))) {
                next = call;
            }
        }
        if (next == nullptr) {
            return;
        }
        startCall(*next, now);
        ++running;
    }
}

void EngineModel::startCall(EngineCall &call, TimePoint now)
{
    std::int64_t everTokens = 0;
    for (const auto &[identity, tokens] : call.prefixes) {
        const auto cached = cache_.find(identity);
        if (cached != cache_.end()) {
            call.cachedTokens = tokens;
            held_[cached->second.program].used = now;
        }
        everTokens = everCached_.contains(identity) ? tokens : everTokens;
    }
    call.isRunning = true;
    const auto fresh = static_cast<double>(call.promptTokens - call.cachedTokens);
    call.nextToken = now + toTime(fresh * settings_.prefillMsPerToken * faults.slowFactor) + decodeTime();
    ++totals_.calls;
    totals_.promptTokens += call.promptTokens;
    totals_.cachedTokens += call.cachedTokens;
    totals_.recomputedTokens += std::max<std::int64_t>(0, everTokens - call.cachedTokens);
    for (const auto &[identity, tokens] : call.prefixes) {
        cachePrefix(identity, call.program, tokens, now);
    }
}

void EngineModel::finishCall(EngineCall &call, TimePoint now)
{
    call.isRunning = false;
    call.isDone = true;
    std::string answer;
    for (const std::string &word : call.words) {
        answer += word;
    }
    // The answer is part of the next prompt's prefix.
    const std::uint64_t identity
        = stableHash(answer, stableHash("assistant", call.prefixes.empty() ? 0 : call.prefixes.back().first));
    const auto length = static_cast<std::int64_t>(call.words.size());
    cachePrefix(identity, call.program, call.promptTokens + length + messageTokens, now);
    totals_.completionTokens += length;
}

void EngineModel::run(TimePoint now)
{
    startWaiting(now);
    for (auto item = active_.begin(); item != active_.end();) {
        advance(*item->second, now);
        item = item->second->isDone ? active_.erase(item) : std::next(item);
    }
    startWaiting(now);
    noteLoad(now);
}

void EngineModel::advance(EngineCall &call, TimePoint now)
{
    if (now >= call.deadline) {
        call.isDone = true;
        call.isRunning = false;
        call.isCancelled = true;
    }
    while (call.isRunning && !faults.hangs && call.nextToken <= now) {
        ++call.produced;
        call.nextToken += decodeTime();
        if (call.produced >= call.words.size()) {
            finishCall(call, now);
        }
    }
}

TimePoint EngineModel::nextEvent() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[id, call] : active_) {
        if (call->isRunning && !faults.hangs) {
            next = std::min(next, call->nextToken);
        }
    }
    return next;
}

void EngineModel::cachePrefix(std::uint64_t identity, const std::string &program, std::int64_t tokens, TimePoint now)
{
    const auto [place, isNew] = cache_.try_emplace(identity, CachedPrefix {program, tokens});
    everCached_.insert(identity);
    // A program's longest prefix is what its cache takes; shorter ones are parts of it.
    Held &held = held_[place->second.program];
    held.used = now;
    if (isNew) {
        held.prefixes.push_back(identity);
        cacheUsed_ += std::max<std::int64_t>(0, tokens - held.tokens);
        held.tokens = std::max(held.tokens, tokens);
        note("stored", program, tokens, now);
        evict(now);
    }
}

void EngineModel::evict(TimePoint now)
{
    while (cacheUsed_ > settings_.cacheTokens && held_.size() > 1) {
        const auto oldest = std::min_element(
            held_.begin(), held_.end(), [](const auto &a, const auto &b) { return a.second.used < b.second.used; });
        note("evicted", oldest->first, oldest->second.tokens, now);
        release(std::string(oldest->first));
    }
}

void EngineModel::release(const std::string &program)
{
    const auto held = held_.extract(program);
    if (held.empty()) {
        return;
    }
    for (const std::uint64_t identity : held.mapped().prefixes) {
        cache_.erase(identity);
    }
    cacheUsed_ -= held.mapped().tokens;
}

std::map<std::string, std::int64_t> EngineModel::heldPrograms() const
{
    std::map<std::string, std::int64_t> programs;
    for (const auto &[program, held] : held_) {
        programs[program] = held.tokens;
    }
    return programs;
}

json::array EngineModel::exportCache(const std::string &program) const
{
    json::array prefixes;
    for (const auto &[identity, prefix] : cache_) {
        if (prefix.program == program) {
            prefixes.push_back(json::array {std::to_string(identity), prefix.tokens});
        }
    }
    return prefixes;
}

void EngineModel::importCache(const std::string &program, const json::array &prefixes, TimePoint now)
{
    for (const json::value &prefix : prefixes) {
        cachePrefix(std::stoull(std::string(prefix.at(0).as_string())), program, prefix.at(1).as_int64(), now);
    }
}

void EngineModel::note(std::string kind, const std::string &program, std::int64_t tokens, TimePoint now)
{
    const std::uint64_t number = nextEvent_++;
    if (std::uniform_real_distribution<>(0.0, 1.0)(random_) < settings_.eventLoss) {
        return;
    }
    events_.push_back({number, std::move(kind), program, tokens, now});
    if (events_.size() > maxEvents) {
        events_.erase(events_.begin(), events_.begin() + maxEvents / 2);
    }
}

std::vector<CacheEvent> EngineModel::eventsAfter(std::uint64_t number, TimePoint now) const
{
    std::vector<CacheEvent> published;
    for (const CacheEvent &event : events_) {
        if (event.number > number && event.at + settings_.eventLag <= now) {
            published.push_back(event);
        }
    }
    return published;
}

bool EngineModel::order(const std::string &text, std::uint64_t fencing)
{
    if (settings_.checksFencing && fencing < highestFencing_) {
        return false;
    }
    highestFencing_ = std::max(highestFencing_, fencing);
    orders_.push_back(text);
    return true;
}

void EngineModel::noteLoad(TimePoint now)
{
    Load load;
    load.at = now;
    load.cacheUsed = cacheUsed_;
    load.running = countRunning();
    load.waiting = static_cast<int>(active_.size()) - load.running;
    loads_.push_back(load);
    if (loads_.size() > maxLoads) {
        loads_.pop_front();
    }
}

EngineModel::Load EngineModel::reportedLoad(TimePoint now) const
{
    Load reported;
    for (const Load &load : loads_) {
        if (load.at + settings_.loadLag <= now) {
            reported = load;
        }
    }
    return reported;
}

} // namespace cardamompost::standin
