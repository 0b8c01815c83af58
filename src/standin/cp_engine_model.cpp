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
constexpr std::size_t maxCancelledIds = 20'000;
constexpr std::size_t maxEvents = 10'000;
constexpr std::size_t maxLoadSamples = 1'000;
constexpr std::int64_t tokensPerMessage = 4;

constexpr std::array<std::string_view, 24> vocabulary {
    "hold",  "two",   "trim",   "ballast", "berth",  "grain", "clinker", "draft", "survey", "gate", "bank", "stand",
    "crane", "hatch", "loaded", "level",   "before", "after", "check",   "plan",  "shift",  "port", "aft",  "forward"};

Milliseconds toMilliseconds(double ms)
{
    return Milliseconds(static_cast<std::int64_t>(std::max(1.0, ms)));
}

std::string messageContent(const json::value &message)
{
    const json::value &content = message.at("content");
    return content.is_string() ? std::string(content.as_string()) : json::serialize(content);
}

// Deterministic in the prompt, so that a resumed or repeated generation can be compared with the first one.
std::vector<std::string> makeAnswer(std::uint64_t prefixHash, std::int64_t maxTokens)
{
    std::vector<std::string> words;
    const std::int64_t length = std::min<std::int64_t>(maxTokens, 20 + static_cast<std::int64_t>(prefixHash % 60));
    for (std::int64_t i = 0; i < length; ++i) {
        const std::uint64_t hash = stableHash(std::to_string(i), prefixHash);
        words.push_back(fmt::format("{}{}", i == 0 ? "" : " ", vocabulary[hash % vocabulary.size()]));
    }
    return words;
}

} // namespace

std::int64_t countTokens(const std::string &text)
{
    std::int64_t tokens = 0;
    bool inWord = false;
    for (const char c : text) {
        const bool isSpace = c == ' ' || c == '\n' || c == '\t';
        tokens += !isSpace && !inWord ? 1 : 0;
        inWord = !isSpace;
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
    if (cancelledBeforeSubmit_.contains(call.id)) {
        return false;
    }
    if (calls_.contains(call.id)) {
        return true;
    }
    if (faults.refuses || faults.isLeaving) {
        return false;
    }
    std::uint64_t prefixHash = 0;
    for (const json::value &message : messages) {
        const std::string content = messageContent(message);
        prefixHash = stableHash(content, stableHash(std::string(message.at("role").as_string()), prefixHash));
        call.promptTokens += countTokens(content) + tokensPerMessage;
        call.prefixes.emplace_back(prefixHash, call.promptTokens);
    }
    call.arrived = now;
    call.words = makeAnswer(prefixHash, call.maxTokens);
    submissionOrder_.push_back(call.id);
    const auto inserted = calls_.emplace(call.id, std::move(call)).first;
    active_.emplace(inserted->first, &inserted->second);
    while (submissionOrder_.size() > maxCalls && calls_.at(submissionOrder_.front()).isDone) {
        calls_.erase(submissionOrder_.front());
        submissionOrder_.pop_front();
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
        // Rejects an attempt that arrives after its cancellation.
        cancelledBeforeSubmit_.insert(id);
        if (cancelledBeforeSubmit_.size() > maxCancelledIds) {
            cancelledBeforeSubmit_.erase(cancelledBeforeSubmit_.begin());
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
    return toMilliseconds(settings_.decodeMsPerToken * slowdown * faults.slowFactor);
}

void EngineModel::startWaitingCalls(TimePoint now)
{
    int running = countRunning();
    while (running < settings_.slots && !faults.hangs) {
        EngineCall *next = nullptr;
        for (const auto &[id, call] : active_) {
            const auto queueOrder = [](const EngineCall &c) { return std::tuple(c.priority, c.arrived, c.id); };
            if (!call->isRunning && (next == nullptr || queueOrder(*call) < queueOrder(*next))) {
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
    std::int64_t previouslyCachedTokens = 0;
    for (const auto &[prefixHash, tokens] : call.prefixes) {
        const auto cached = cache_.find(prefixHash);
        if (cached != cache_.end()) {
            call.cachedTokens = tokens;
            cachedPrograms_[cached->second.program].lastUsed = now;
        }
        previouslyCachedTokens = everCached_.contains(prefixHash) ? tokens : previouslyCachedTokens;
    }
    call.isRunning = true;
    const auto uncachedTokens = static_cast<double>(call.promptTokens - call.cachedTokens);
    call.nextTokenAt
        = now + toMilliseconds(uncachedTokens * settings_.prefillMsPerToken * faults.slowFactor) + decodeTime();
    ++totals_.calls;
    totals_.promptTokens += call.promptTokens;
    totals_.cachedTokens += call.cachedTokens;
    totals_.recomputedTokens += std::max<std::int64_t>(0, previouslyCachedTokens - call.cachedTokens);
    for (const auto &[prefixHash, tokens] : call.prefixes) {
        cachePrefix(prefixHash, call.program, tokens, now);
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
    // The next prompt of the program starts with this answer.
    const std::uint64_t prefixHash
        = stableHash(answer, stableHash("assistant", call.prefixes.empty() ? 0 : call.prefixes.back().first));
    const auto length = static_cast<std::int64_t>(call.words.size());
    cachePrefix(prefixHash, call.program, call.promptTokens + length + tokensPerMessage, now);
    totals_.completionTokens += length;
}

void EngineModel::run(TimePoint now)
{
    startWaitingCalls(now);
    for (auto item = active_.begin(); item != active_.end();) {
        advance(*item->second, now);
        item = item->second->isDone ? active_.erase(item) : std::next(item);
    }
    startWaitingCalls(now);
    recordLoad(now);
}

void EngineModel::advance(EngineCall &call, TimePoint now)
{
    if (now >= call.deadline) {
        call.isDone = true;
        call.isRunning = false;
        call.isCancelled = true;
    }
    while (call.isRunning && !faults.hangs && call.nextTokenAt <= now) {
        ++call.producedTokens;
        call.nextTokenAt += decodeTime();
        if (call.producedTokens >= call.words.size()) {
            finishCall(call, now);
        }
    }
}

TimePoint EngineModel::nextTokenTime() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[id, call] : active_) {
        if (call->isRunning && !faults.hangs) {
            next = std::min(next, call->nextTokenAt);
        }
    }
    return next;
}

void EngineModel::cachePrefix(std::uint64_t prefixHash, const std::string &program, std::int64_t tokens, TimePoint now)
{
    const auto [cacheEntry, isNew] = cache_.try_emplace(prefixHash, CachedPrefix {program, tokens});
    everCached_.insert(prefixHash);
    // Shorter prefixes of a program share the storage of its longest one.
    CachedProgram &held = cachedPrograms_[cacheEntry->second.program];
    held.lastUsed = now;
    if (isNew) {
        held.prefixes.push_back(prefixHash);
        cacheUsed_ += std::max<std::int64_t>(0, tokens - held.tokens);
        held.tokens = std::max(held.tokens, tokens);
        recordEvent("stored", program, tokens, now);
        evict(now);
    }
}

void EngineModel::evict(TimePoint now)
{
    while (cacheUsed_ > settings_.cacheTokens && cachedPrograms_.size() > 1) {
        const auto oldest
            = std::min_element(cachedPrograms_.begin(), cachedPrograms_.end(),
                               [](const auto &a, const auto &b) { return a.second.lastUsed < b.second.lastUsed; });
        recordEvent("evicted", oldest->first, oldest->second.tokens, now);
        release(std::string(oldest->first));
    }
}

void EngineModel::release(const std::string &program)
{
    const auto held = cachedPrograms_.extract(program);
    if (held.empty()) {
        return;
    }
    for (const std::uint64_t prefixHash : held.mapped().prefixes) {
        cache_.erase(prefixHash);
    }
    cacheUsed_ -= held.mapped().tokens;
}

std::map<std::string, std::int64_t> EngineModel::heldPrograms() const
{
    std::map<std::string, std::int64_t> programs;
    for (const auto &[program, held] : cachedPrograms_) {
        programs[program] = held.tokens;
    }
    return programs;
}

json::array EngineModel::exportCache(const std::string &program) const
{
    json::array prefixes;
    for (const auto &[prefixHash, prefix] : cache_) {
        if (prefix.program == program) {
            prefixes.push_back(json::array {std::to_string(prefixHash), prefix.tokens});
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

void EngineModel::recordEvent(std::string kind, const std::string &program, std::int64_t tokens, TimePoint now)
{
    const std::uint64_t number = nextEventNumber_++;
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

bool EngineModel::recordOrder(const std::string &text, std::uint64_t fencingToken)
{
    if (settings_.checksFencing && fencingToken < highestFencingToken_) {
        return false;
    }
    highestFencingToken_ = std::max(highestFencingToken_, fencingToken);
    orders_.push_back(text);
    return true;
}

void EngineModel::recordLoad(TimePoint now)
{
    Load load;
    load.at = now;
    load.cacheUsed = cacheUsed_;
    load.running = countRunning();
    load.waiting = static_cast<int>(active_.size()) - load.running;
    loads_.push_back(load);
    if (loads_.size() > maxLoadSamples) {
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
