#ifndef CARDAMOMPOST_TESTS_CP_MODEL_ENGINE_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_MODEL_ENGINE_HPP_INCLUDED

#include <algorithm>
#include <deque>
#include <list>
#include <string>
#include <vector>

namespace cardamompost::tests
{

//! Times of the model, in milliseconds.
using Ms = double;

//! What an engine is like: it decodes a batch step by step and reads prompts in pieces between the steps.
struct EngineModel {
    unsigned slots = 6;
    Ms step = 2.5;
    Ms stepPerTurn = 0.06;
    double tokensReadPerMs = 85;
    double chunk = 1024;
    Ms setUp = 11;
    //! Tokens that running turns and kept prompts share.
    double memory = 50'000;
    //! Each third engine's steps and reading take so many times as long.
    double slowness = 1.3;
};

//! One engine in virtual time. The least recently used prompts yield to running turns; if these do not fit, the newest
//! is put back.
class ModelEngine
{
public:
    struct Run {
        std::size_t turn = 0;
        //! The history that the prompt belongs to, and the one that it grew out of.
        std::string line;
        std::string parent;
        double prompt = 0;
        double parentPrompt = 0;
        //! What the parent's own prompt grew out of.
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
    //! One step. \param done  gets the turns that are finished \returns how long it took
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
                    read_ += piece;
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
            keep(run->line, run->prompt + run->out, run->prompt + run->out - run->parentPrompt);
            done.push_back(run->turn);
            run = running_.erase(run);
        }
        putBack();
        return time;
    }
    [[nodiscard]] double tokensRead() const
    {
        return read_;
    }
    [[nodiscard]] unsigned putBacks() const
    {
        return putBacks_;
    }

private:
    struct Kept {
        std::string line;
        double tokens = 0;
        //! Without what it shares with the history that it grew out of: memory holds that once.
        double own = 0;
    };

    void admit()
    {
        while (!queue_.empty() && running_.size() < model_.slots) {
            Run run = std::move(queue_.front());
            queue_.pop_front();
            const double inherited
                = run.parent.empty() ? run.parentPrompt : std::min(run.parentPrompt, peek(run.parent));
            const double known = std::max(take(run.line), inherited);
            run.toRead = std::max(run.prompt - known, 1.0);
            if (!run.parent.empty()) {
                // What it grew out of is a part of its prompt, so the engine holds that from now on.
                keep(run.parent, std::max(take(run.parent), run.parentPrompt), run.parentPrompt - run.grandPrompt);
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
    void putBack()
    {
        while (running_.size() > 1 && runningTokens() > model_.memory) {
            queue_.push_front(std::move(running_.back()));
            running_.pop_back();
            ++putBacks_;
        }
        while (!kept_.empty() && keptTokens_ + runningTokens() > model_.memory) {
            keptTokens_ -= kept_.back().own;
            kept_.pop_back();
        }
    }
    void keep(const std::string &line, double tokens, double own)
    {
        take(line);
        kept_.push_front({line, tokens, own});
        keptTokens_ += own;
    }
    double take(const std::string &line)
    {
        const auto found
            = std::find_if(kept_.begin(), kept_.end(), [&](const Kept &kept) { return kept.line == line; });
        if (found == kept_.end()) {
            return 0;
        }
        const double tokens = found->tokens;
        keptTokens_ -= found->own;
        kept_.erase(found);
        return tokens;
    }
    [[nodiscard]] double peek(const std::string &line) const
    {
        const auto found
            = std::find_if(kept_.begin(), kept_.end(), [&](const Kept &kept) { return kept.line == line; });
        return found == kept_.end() ? 0 : found->tokens;
    }

    EngineModel model_;
    double slowness_;
    std::deque<Run> queue_;
    std::vector<Run> running_;
    std::list<Kept> kept_;
    double keptTokens_ = 0;
    double read_ = 0;
    unsigned putBacks_ = 0;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_MODEL_ENGINE_HPP_INCLUDED
