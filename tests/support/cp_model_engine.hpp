#ifndef CARDAMOMPOST_TESTS_CP_MODEL_ENGINE_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_MODEL_ENGINE_HPP_INCLUDED

#include <algorithm>
#include <deque>
#include <list>
#include <string>
#include <vector>

namespace cardamompost::tests
{

//! Virtual time in milliseconds.
using Ms = double;

//! Parameters of an engine with continuous batching and chunked prefill.
struct EngineModel {
    unsigned slots = 6;
    Ms step = 2.5;
    Ms stepPerTurn = 0.06;
    double tokensReadPerMs = 85;
    double chunk = 1024;
    Ms setUp = 11;
    //! Key-value memory in tokens, for running turns and cached prompts.
    double memory = 50'000;
    //! Slowdown factor of every third engine.
    double slowness = 1.3;
};

//! An engine in virtual time. Least recently used prompts are evicted for running turns; if these don't fit, the newest
//! one is preempted.
class ModelEngine
{
public:
    struct Run {
        std::size_t turn = 0;
        //! The history of the prompt, and the one that it was forked from.
        std::string line;
        std::string parent;
        double prompt = 0;
        double parentPrompt = 0;
        //! Tokens that the parent shares with its own parent.
        double grandPrompt = 0;
        double toRead = 0;
        double out = 0;
        double made = 0;
    };

    ModelEngine(EngineModel model, double slowness)
        : model_(model)
        , slowness_(slowness)
    {
    }
    void add(Run run)
    {
        queue_.push_back(std::move(run));
    }
    [[nodiscard]] bool isIdle() const
    {
        return running_.empty() && queue_.empty();
    }
    //! Runs one step. \param done  receives the finished turns \returns the duration
    Ms step(std::vector<std::size_t> &done)
    {
        admit();
        Ms time = (model_.step + model_.stepPerTurn * static_cast<double>(running_.size())) * slowness_;
        bool isReading = false;
        for (Run &run : running_) {
            if (run.toRead > 0) {
                if (!isReading) {
                    const double piece = std::min(run.toRead, model_.chunk);
                    run.toRead -= piece;
                    tokensRead_ += piece;
                    time += piece / model_.tokensReadPerMs * slowness_;
                    isReading = true;
                }
                run.made += run.toRead > 0 ? 0 : 1;
            } else {
                run.made += 1;
            }
        }
        for (auto run = running_.begin(); run != running_.end();) {
            if (run->made < run->out) {
                ++run;
                continue;
            }
            store(run->line, run->prompt + run->out, run->prompt + run->out - run->parentPrompt);
            done.push_back(run->turn);
            run = running_.erase(run);
        }
        preempt();
        return time;
    }
    [[nodiscard]] double tokensRead() const
    {
        return tokensRead_;
    }
    [[nodiscard]] unsigned preemptions() const
    {
        return preemptions_;
    }

private:
    struct CachedPrompt {
        std::string line;
        double tokens = 0;
        //! Tokens that aren't shared with the parent, which are stored once.
        double own = 0;
    };

    void admit()
    {
        while (!queue_.empty() && running_.size() < model_.slots) {
            Run run = std::move(queue_.front());
            queue_.pop_front();
            const double inherited
                = run.parent.empty() ? run.parentPrompt : std::min(run.parentPrompt, cachedTokens(run.parent));
            const double reusable = std::max(evict(run.line), inherited);
            run.toRead = std::max(run.prompt - reusable, 1.0);
            if (!run.parent.empty()) {
                // The parent's prompt is a prefix of this one, so it is cached as well.
                store(run.parent, std::max(evict(run.parent), run.parentPrompt), run.parentPrompt - run.grandPrompt);
            }
            run.made = 0;
            running_.push_back(std::move(run));
        }
    }
    [[nodiscard]] double runningTokens() const
    {
        double sum = 0;
        for (const Run &run : running_) {
            sum += run.prompt + run.made - run.parentPrompt;
        }
        return sum;
    }
    void preempt()
    {
        while (running_.size() > 1 && runningTokens() > model_.memory) {
            queue_.push_front(std::move(running_.back()));
            running_.pop_back();
            ++preemptions_;
        }
        while (!cache_.empty() && cachedTokens_ + runningTokens() > model_.memory) {
            cachedTokens_ -= cache_.back().own;
            cache_.pop_back();
        }
    }
    void store(const std::string &line, double tokens, double own)
    {
        evict(line);
        cache_.push_front({line, tokens, own});
        cachedTokens_ += own;
    }
    double evict(const std::string &line)
    {
        const auto found = std::find_if(cache_.begin(), cache_.end(),
                                        [&](const CachedPrompt &cached) { return cached.line == line; });
        if (found == cache_.end()) {
            return 0;
        }
        const double tokens = found->tokens;
        cachedTokens_ -= found->own;
        cache_.erase(found);
        return tokens;
    }
    [[nodiscard]] double cachedTokens(const std::string &line) const
    {
        const auto found = std::find_if(cache_.begin(), cache_.end(),
                                        [&](const CachedPrompt &cached) { return cached.line == line; });
        return found == cache_.end() ? 0 : found->tokens;
    }

    EngineModel model_;
    double slowness_;
    std::deque<Run> queue_;
    std::vector<Run> running_;
    std::list<CachedPrompt> cache_;
    double cachedTokens_ = 0;
    double tokensRead_ = 0;
    unsigned preemptions_ = 0;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_MODEL_ENGINE_HPP_INCLUDED
