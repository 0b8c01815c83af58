#ifndef CARDAMOMPOST_CP_ENGINE_MODEL_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENGINE_MODEL_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <boost/json/array.hpp>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cardamompost::standin
{

//! Performance model of a simulated engine.
struct EngineSettings {
    int slots = 8;
    double prefillMsPerToken = 0.02;
    double decodeMsPerToken = 4.0;
    //! Relative increase of the decode time for each additional call in the batch.
    double batchSlowdown = 0.03;
    std::int64_t cacheTokens = 200'000;
    bool checksFencing = true;
    Milliseconds loadLag {200};
    Milliseconds eventLag {300};
    //! Fraction of cache events that are lost instead of published.
    double eventLoss = 0.05;
};

//! Faults that a test injects.
struct EngineFaults {
    double slowFactor = 1.0;
    bool hangs = false;
    bool refuses = false;
    bool isLeaving = false;
    //! Tokens after which a stream is cut.
    int cutAfterTokens = 0;
    //! Number of streams still to be cut; 0 disables the fault.
    int cutsLeft = 0;
    Milliseconds answerDelay {0};
};

//! An attempt submitted to the engine, and its progress.
struct EngineCall {
    std::string id;
    std::string program;
    int priority = 0;
    TimePoint arrived {};
    TimePoint deadline {};
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t maxTokens = 0;
    //! Hash and length in tokens of each prefix of the prompt, one per message.
    std::vector<std::pair<std::uint64_t, std::int64_t>> prefixes;
    std::vector<std::string> words;
    std::size_t producedTokens = 0;
    bool isRunning = false;
    bool isDone = false;
    bool isCancelled = false;
    TimePoint nextTokenAt {};
};

//! A change of an engine's prefix cache.
struct CacheEvent {
    std::uint64_t number = 0;
    std::string kind;
    std::string program;
    std::int64_t tokens = 0;
    TimePoint at {};
};

//! Simulates a model engine: continuous batching, a bounded prefix cache, priorities, and streams that can be resumed
//! and cancelled. The caller passes the time, so it also runs in virtual time. Not thread-safe.
class EngineModel
{
public:
    EngineModel(EngineSettings settings, std::uint64_t seed);

    //! Queues an attempt; idempotent in its id. \returns false if the attempt was cancelled earlier or is refused
    bool submit(EngineCall call, const boost::json::array &messages, TimePoint now);
    //! \returns null for an unknown id
    [[nodiscard]] const EngineCall *find(const std::string &id) const;
    void cancel(const std::string &id);
    //! Advances all calls to the given time.
    void run(TimePoint now);
    //! Time of the next token; TimePoint::max() if none is due.
    [[nodiscard]] TimePoint nextTokenTime() const;

    //! Removes a program from the prefix cache.
    void release(const std::string &program);
    //! Number of cached tokens of each program in the prefix cache.
    [[nodiscard]] std::map<std::string, std::int64_t> heldPrograms() const;
    [[nodiscard]] boost::json::array exportCache(const std::string &program) const;
    void importCache(const std::string &program, const boost::json::array &prefixes, TimePoint now);
    //! Events with a higher number than the given one that are published at the given time.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter(std::uint64_t number, TimePoint now) const;

    //! Records an order. \returns false if fencing is checked and the token is lower than one already seen
    bool recordOrder(const std::string &text, std::uint64_t fencingToken);

    struct Load {
        int running = 0;
        int waiting = 0;
        std::int64_t cacheUsed = 0;
        TimePoint at {};
    };
    //! The load as of `loadLag` before the given time.
    [[nodiscard]] Load reportedLoad(TimePoint now) const;

    EngineFaults faults;

    struct Totals {
        std::uint64_t calls = 0;
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        std::int64_t completionTokens = 0;
        //! Prompt tokens that were cached earlier and had to be recomputed.
        std::int64_t recomputedTokens = 0;
    };
    [[nodiscard]] const Totals &totals() const
    {
        return totals_;
    }
    [[nodiscard]] const EngineSettings &settings() const
    {
        return settings_;
    }

private:
    struct CachedPrefix {
        std::string program;
        std::int64_t tokens = 0;
    };
    struct CachedProgram {
        std::vector<std::uint64_t> prefixes;
        std::int64_t tokens = 0;
        TimePoint lastUsed {};
    };
    void startWaitingCalls(TimePoint now);
    void advance(EngineCall &call, TimePoint now);
    void startCall(EngineCall &call, TimePoint now);
    void finishCall(EngineCall &call, TimePoint now);
    void cachePrefix(std::uint64_t prefixHash, const std::string &program, std::int64_t tokens, TimePoint now);
    void evict(TimePoint now);
    void recordEvent(std::string kind, const std::string &program, std::int64_t tokens, TimePoint now);
    void recordLoad(TimePoint now);
    [[nodiscard]] int countRunning() const;
    [[nodiscard]] Milliseconds decodeTime() const;

    EngineSettings settings_;
    std::mt19937_64 random_;
    std::map<std::string, EngineCall> calls_;
    //! Waiting and running calls; pointers into calls_.
    std::map<std::string, EngineCall *> active_;
    std::deque<std::string> submissionOrder_;
    std::set<std::string> cancelledBeforeSubmit_;
    std::map<std::uint64_t, CachedPrefix> cache_;
    std::map<std::string, CachedProgram> cachedPrograms_;
    std::set<std::uint64_t> everCached_;
    std::int64_t cacheUsed_ = 0;
    std::vector<CacheEvent> events_;
    std::uint64_t nextEventNumber_ = 1;
    std::uint64_t highestFencingToken_ = 0;
    std::vector<std::string> orders_;
    std::deque<Load> loads_;
    Totals totals_;
};

//! Counts tokens as the simulated engine does: one per word.
[[nodiscard]] std::int64_t countTokens(const std::string &text);

} // namespace cardamompost::standin

#endif // CARDAMOMPOST_CP_ENGINE_MODEL_HPP_INCLUDED
