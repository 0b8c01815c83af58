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
    Ms stepTime = 2.5;
    Ms stepTimePerTurn = 0.06;
    double prefillTokensPerMs = 85;
    double chunkTokens = 1024;
    Ms requestSetupTime = 11;
    //! Key-value memory in tokens, for running turns and cached prompts.
    double memoryTokens = 50'000;
    //! Speed at which an engine receives cached prompts of another one.
    double fetchTokensPerMs = 1200;
    //! Slowdown factor of the slow engines of a fleet.
    double slowness = 1.3;
};

//! An engine in virtual time. Least recently used prompts are evicted for running turns; if the turns alone do not fit,
//! the newest one is preempted.
class ModelEngine
{
public:
    struct Run {
        std::size_t turn = 0;
        //! The conversation that the prompt belongs to, and the one that it was forked from.
        std::string conversation;
        std::string parent;
        double prompt = 0;
        double parentPrompt = 0;
        //! Tokens that the parent shares with its own parent.
        double grandparentPrompt = 0;
        double tokensToPrefill = 0;
        double outputTokens = 0;
        double generatedTokens = 0;
        //! Tokens of the prompt, from its start, that are cached here because they were fetched from another engine.
        double fetchedPrompt = 0;
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
    void setSlowness(double slowness)
    {
        slowness_ = slowness;
    }
    //! Runs one step.
    //! \param begun  receives the turns that generated their first token
    //! \param done  receives the finished turns
    //! \returns the duration
    Ms step(std::vector<std::size_t> &begun, std::vector<std::size_t> &done)
    {
        admit();
        Ms time = (model_.stepTime + model_.stepTimePerTurn * static_cast<double>(running_.size())) * slowness_;
        bool hasPrefilled = false;
        for (Run &run : running_) {
            if (run.tokensToPrefill > 0) {
                if (!hasPrefilled) {
                    const double chunk = std::min(run.tokensToPrefill, model_.chunkTokens);
                    run.tokensToPrefill -= chunk;
                    prefilledTokens_ += chunk;
                    time += chunk / model_.prefillTokensPerMs * slowness_;
                    hasPrefilled = true;
                }
                run.generatedTokens += run.tokensToPrefill > 0 ? 0 : 1;
            } else {
                run.generatedTokens += 1;
            }
            if (run.generatedTokens == 1) {
                begun.push_back(run.turn);
            }
        }
        for (auto run = running_.begin(); run != running_.end();) {
            if (run->generatedTokens < run->outputTokens) {
                ++run;
                continue;
            }
            addToCache(run->conversation, run->prompt + run->outputTokens,
                       run->prompt + run->outputTokens - run->parentPrompt);
            done.push_back(run->turn);
            run = running_.erase(run);
        }
        freeMemory();
        return time;
    }
    //! Tokens of a run's prompt, from its start, that are cached.
    [[nodiscard]] double keptTokens(const Run &run) const
    {
        const double inherited
            = run.parent.empty() ? run.parentPrompt : std::min(run.parentPrompt, cachedTokens(run.parent));
        return std::max(cachedTokens(run.conversation), inherited);
    }
    [[nodiscard]] double prefilledTokens() const
    {
        return prefilledTokens_;
    }
    [[nodiscard]] unsigned preemptions() const
    {
        return preemptions_;
    }

private:
    struct CachedPrompt {
        std::string conversation;
        double tokens = 0;
        //! Tokens that are not shared with the parent.
        double ownTokens = 0;
    };

    void admit()
    {
        while (!queue_.empty() && running_.size() < model_.slots) {
            Run run = std::move(queue_.front());
            queue_.pop_front();
            const double reusable = std::max(keptTokens(run), run.fetchedPrompt);
            removeFromCache(run.conversation);
            run.tokensToPrefill = std::max(run.prompt - reusable, 1.0);
            if (!run.parent.empty()) {
                // The parent's prompt is a prefix of this one, so it is cached as well.
                addToCache(run.parent, std::max(removeFromCache(run.parent), run.parentPrompt),
                           run.parentPrompt - run.grandparentPrompt);
            }
            run.generatedTokens = 0;
            running_.push_back(std::move(run));
        }
    }
    [[nodiscard]] double runningTokens() const
    {
        double sum = 0;
        for (const Run &run : running_) {
            sum += run.prompt + run.generatedTokens - run.parentPrompt;
        }
        return sum;
    }
    void freeMemory()
    {
        while (running_.size() > 1 && runningTokens() > model_.memoryTokens) {
            queue_.push_front(std::move(running_.back()));
            running_.pop_back();
            ++preemptions_;
        }
        while (!cache_.empty() && totalCachedTokens_ + runningTokens() > model_.memoryTokens) {
            totalCachedTokens_ -= cache_.back().ownTokens;
            cache_.pop_back();
        }
    }
    void addToCache(const std::string &conversation, double tokens, double ownTokens)
    {
        removeFromCache(conversation);
        cache_.push_front({conversation, tokens, ownTokens});
        totalCachedTokens_ += ownTokens;
    }
    double removeFromCache(const std::string &conversation)
    {
        const auto found = std::find_if(cache_.begin(), cache_.end(), [&](const CachedPrompt &cached) {
            return cached.conversation == conversation;
        });
        if (found == cache_.end()) {
            return 0;
        }
        const double tokens = found->tokens;
        totalCachedTokens_ -= found->ownTokens;
        cache_.erase(found);
        return tokens;
    }
    [[nodiscard]] double cachedTokens(const std::string &conversation) const
    {
        const auto found = std::find_if(cache_.begin(), cache_.end(), [&](const CachedPrompt &cached) {
            return cached.conversation == conversation;
        });
        return found == cache_.end() ? 0 : found->tokens;
    }

    EngineModel model_;
    double slowness_;
    std::deque<Run> queue_;
    std::vector<Run> running_;
    std::list<CachedPrompt> cache_;
    double totalCachedTokens_ = 0;
    double prefilledTokens_ = 0;
    unsigned preemptions_ = 0;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_MODEL_ENGINE_HPP_INCLUDED
