#ifndef CARDAMOMPOST_TESTS_CP_ENGINE_FLEET_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_ENGINE_FLEET_HPP_INCLUDED

#include "cp_model_engine.hpp"

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <cmath>
#include <memory>
#include <optional>
#include <queue>
#include <utility>

namespace cardamompost::tests
{

//! Parameters of a kind of agent program.
struct ProgramKind {
    std::string name;
    //! Client accounts that begin programs of this kind in turn; none for one without a name.
    std::vector<std::string> accounts {};
    unsigned rank = 0;
    double arrivalsPerSecond = 0;
    double value = 1;
    double lateValueShare = 0.3;
    double turns = 4;
    //! Prompt tokens of the first turn, and those added by each later turn.
    double firstTurnTokens = 650;
    double laterTurnTokens = 40;
    //! Prefix shared by all prompts and cached on every engine.
    double sharedPrefixTokens = 512;
    //! Events of a response: the first contains one token, each later one tokensPerEvent.
    double events = 2.9;
    double tokensPerEvent = 25;
    //! Mean pause of the client between turns.
    Ms pause = 60;
    //! Probability of a fan-out to sub-agents after a turn, and the number of sub-agents.
    double fanOutChance = 0;
    double fanOutWidth = 5;
    //! Target duration as a multiple of the duration on idle engines, before targetDurationMargin is added.
    double targetDurationFactor = 1.4;
};

//! Failure of the placement leader and takeover by a follower.
struct LeaderLoss {
    Ms at = 0;
    //! Time until the new leader is elected, and until it then has the engine list.
    Ms electionTime = 200;
    Ms serverListDelay = 100;
};

//! Multiplies the arrival rate of a kind for a time; an empty name stands for all kinds.
struct LoadBurst {
    Ms from = 0;
    Ms until = 0;
    double factor = 1;
    std::string kind;
};

//! Replaces the engines one after the other: each is listed as leaving, and another one starts.
struct FleetRelease {
    Ms from = 0;
    Ms interval = 100;
    //! Time from an engine's leaving until the list drops it; it still runs its turns then.
    Ms drainTime = 1500;
};

//! A change of an engine's slowness at a time.
struct EngineSlowdown {
    std::size_t engine = 0;
    Ms at = 0;
    double slowness = 1;
};

struct FleetLoad {
    EngineModel engine;
    std::size_t engines = 77;
    //! Slowness of the engines in turn; empty for two usual engines and one with the model's slowness.
    std::vector<double> slowness;
    std::vector<EngineSlowdown> slowdowns;
    PlacementOptions placement;
    std::vector<ProgramKind> kinds;
    std::vector<LoadBurst> bursts;
    std::optional<LeaderLoss> leaderLoss;
    std::optional<FleetRelease> release;
    //! Programs arrive until this time.
    Ms arrivalPeriod = 34'000;
};

//! Results for one kind of program.
struct KindResult {
    double possibleValue = 0;
    double earnedValue = 0;
    unsigned programs = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    //! Refused before their first turn.
    unsigned refused = 0;
    //! Begun and not done.
    unsigned dropped = 0;
    //! Sum of the waits of all first turns for a slot.
    Ms firstWaits = 0;

    [[nodiscard]] double inTimeShare() const
    {
        return programs == 0 ? 1 : static_cast<double>(inTime) / programs;
    }
    [[nodiscard]] double earnedShare() const
    {
        return possibleValue == 0 ? 1 : earnedValue / possibleValue;
    }
};

//! Simulates programs on a fleet of engines with turn placement, in virtual time.
class EngineFleet
{
public:
    EngineFleet(FleetLoad load, std::uint64_t seed)
        : load_(std::move(load))
        , random_(seed)
        , placement_(std::make_unique<TurnPlacement>(seed, load_.placement))
        , follower_(std::make_unique<TurnPlacement>(seed + 1, load_.placement))
    {
        if (load_.slowness.empty()) {
            load_.slowness = {1, 1, load_.engine.slowness};
        }
        for (std::size_t i = 0; i < load_.engines; ++i) {
            addEngine(i);
        }
        placement_->setServers(servers_, timeAt(0));
    }

    std::map<std::string, KindResult> run()
    {
        for (std::size_t kind = 0; kind < load_.kinds.size(); ++kind) {
            schedule(0, [this, kind] { arrive(kind); });
        }
        schedule(0, [this] { tick(); });
        for (const EngineSlowdown &slowdown : load_.slowdowns) {
            schedule(slowdown.at, [this, slowdown] { engines_[slowdown.engine].setSlowness(slowdown.slowness); });
        }
        if (load_.leaderLoss) {
            schedule(load_.leaderLoss->at, [this] { replaceLeader(); });
        }
        for (std::size_t i = 0; load_.release && i < load_.engines; ++i) {
            schedule(load_.release->from + static_cast<double>(i) * load_.release->interval,
                     [this, i] { replaceEngine(i); });
        }
        while (!events_.empty()) {
            const Event next = events_.top();
            events_.pop();
            now_ = next.time;
            next.action();
        }
        std::map<std::string, KindResult> results;
        for (const Program &program : programs_) {
            const ProgramKind &kind = load_.kinds[program.kind];
            KindResult &result = results[kind.name];
            const Ms took = program.ended - program.began;
            const bool isInTime = program.isDone && took <= program.targetDuration;
            const bool isLate = program.isDone && !isInTime && took <= 2 * program.targetDuration;
            ++result.programs;
            result.inTime += isInTime ? 1 : 0;
            result.late += isLate ? 1 : 0;
            result.refused += program.isRefused ? 1 : 0;
            result.dropped += !program.isRefused && !program.isDone ? 1 : 0;
            result.firstWaits += program.firstWait;
            result.possibleValue += kind.value * program.valueFactor;
            result.earnedValue += program.valueFactor
                * (isInTime     ? kind.value
                       : isLate ? kind.value * kind.lateValueShare
                                : 0);
        }
        return results;
    }
    //! As known to the leader's placement.
    [[nodiscard]] double slownessOf(std::size_t engine) const
    {
        return placement_->slownessOf(std::to_string(engine));
    }
    //! Engines of unusual speed as known to the follower that takes over.
    [[nodiscard]] std::size_t unusualEnginesAtTakeover() const
    {
        return unusualEnginesAtTakeover_;
    }
    //! Turns that each engine completed.
    [[nodiscard]] const std::vector<unsigned> &turnsDone() const
    {
        return turnsDone_;
    }
    //! Turns with their engines, in the order of placement; the engine is empty if the entry chose.
    [[nodiscard]] const std::vector<std::pair<std::string, std::string>> &decisions() const
    {
        return decisions_;
    }
    [[nodiscard]] double prefilledTokens() const
    {
        double sum = 0;
        for (const ModelEngine &engine : engines_) {
            sum += engine.prefilledTokens();
        }
        return sum;
    }
    //! Tokens of prompts that engines fetched from others.
    [[nodiscard]] double fetchedTokens() const
    {
        return fetchedTokens_;
    }
    //! Tokens of prompts that engines computed although the programs' former engines kept them.
    [[nodiscard]] double recomputedTokens() const
    {
        return recomputedTokens_;
    }

private:
    static constexpr Ms networkDelay = 13;
    static constexpr Ms targetDurationMargin = 200;
    static constexpr Ms tickInterval = 10;
    static constexpr unsigned subAgentTurns = 2;

    struct Conversation {
        std::size_t program = 0;
        std::string name;
        std::string parent;
        double parentPrompt = 0;
        double prompt = 0;
        unsigned turnsLeft = 0;
        bool isMain = false;
    };
    struct Turn {
        std::size_t conversation = 0;
        double outputTokens = 0;
        std::string id;
        std::string engine;
        std::string promptSource;
        //! The engine of the program's last turn; nothing for the first one.
        std::optional<std::size_t> formerEngine;
        Ms firstTokenAt = 0;
    };
    struct Program {
        std::size_t kind = 0;
        Ms began = 0;
        Ms targetDuration = 0;
        Ms ended = 0;
        double valueFactor = 1;
        bool isDone = false;
        bool hasStarted = false;
        std::optional<std::size_t> lastEngine;
        bool isRefused = false;
        std::string account;
        //! Until the first turn had a slot.
        Ms firstWait = 0;
        unsigned subAgents = 0;
        std::size_t mainConversation = 0;
        //! For each turn, drawn at the start of the program.
        std::vector<double> inputs;
        std::vector<double> outputs;
        std::vector<Ms> pauses;
        std::vector<unsigned> fanOutWidths;
    };
    struct Event {
        Ms time = 0;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::tie(left.time, left.sequence) > std::tie(right.time, right.sequence);
        }
    };

    static TimePoint timeAt(Ms time)
    {
        return TimePoint() + std::chrono::hours(1) + std::chrono::microseconds(std::llround(time * 1000));
    }
    static std::string domainOf(std::size_t number)
    {
        return "domain-" + std::to_string(number % 5);
    }
    void schedule(Ms time, std::function<void()> action)
    {
        events_.push({time, sequence_++, std::move(action)});
    }
    double drawLogNormal(double mean, double spread)
    {
        return mean * std::exp(std::normal_distribution<double>(-spread * spread / 2, spread)(random_));
    }
    double currentRate(const ProgramKind &kind) const
    {
        double rate = kind.arrivalsPerSecond;
        for (const LoadBurst &burst : load_.bursts) {
            const bool isActive = now_ >= burst.from && now_ < burst.until;
            rate *= isActive && (burst.kind.empty() || burst.kind == kind.name) ? burst.factor : 1;
        }
        return rate;
    }
    //! \param number  an engine has the speed and failure domain of the one that it replaces
    void addEngine(std::size_t number)
    {
        BackendServer server;
        server.id = std::to_string(engines_.size());
        server.service = "engines";
        server.failureDomain = domainOf(number);
        server.slots = load_.engine.slots;
        servers_.push_back(std::move(server));
        engines_.emplace_back(load_.engine, load_.slowness[number % load_.slowness.size()]);
        isBusy_.push_back(false);
        turnsDone_.push_back(0);
        linkFreeAt_.push_back(0);
    }
    void replaceEngine(std::size_t number)
    {
        addEngine(number);
        servers_[number].isLeaving = true;
        placement_->updateServers({servers_[number], servers_.back()}, {}, timeAt(now_));
        schedule(now_ + load_.release->drainTime,
                 [this, number] { placement_->updateServers({}, {servers_[number].id}, timeAt(now_)); });
    }
    void tick()
    {
        placement_->tick(timeAt(now_));
        placement_->updateRates(timeAt(now_));
        follower_->tick(timeAt(now_));
        if (now_ < load_.arrivalPeriod + 20'000) {
            schedule(now_ + tickInterval, [this] { tick(); });
        }
    }
    void arrive(std::size_t kindNumber)
    {
        const ProgramKind &kind = load_.kinds[kindNumber];
        if (now_ >= load_.arrivalPeriod) {
            return;
        }
        startProgram(kindNumber);
        const double rate = currentRate(kind);
        schedule(now_ + std::exponential_distribution<double>(rate / 1000)(random_),
                 [this, kindNumber] { arrive(kindNumber); });
    }
    [[nodiscard]] Ms idleTurnDuration(double outputTokens) const
    {
        return load_.engine.requestSetupTime + outputTokens * (load_.engine.stepTime + load_.engine.stepTimePerTurn)
            + 10;
    }
    void startProgram(std::size_t kindNumber)
    {
        const ProgramKind &kind = load_.kinds[kindNumber];
        Program program;
        program.kind = kindNumber;
        program.began = now_;
        if (!kind.accounts.empty()) {
            program.account = kind.accounts[programs_.size() % kind.accounts.size()];
        }
        const auto turns
            = static_cast<unsigned>(std::clamp(std::round(drawLogNormal(kind.turns, 0.4)), 1.0, kind.turns * 2));
        Ms idleDuration = 0;
        for (unsigned i = 0; i < turns; ++i) {
            const double input = i == 0 ? kind.firstTurnTokens : kind.laterTurnTokens;
            program.inputs.push_back(std::min(drawLogNormal(input, 0.7), input * 5));
            program.outputs.push_back(drawOutput(kind));
            Ms pause = drawLogNormal(kind.pause, 0.6);
            // Up to four concurrent waits, of which the slowest counts: probability and mean duration in ms.
            Ms slowest = 0;
            for (const auto &[probability, work] :
                 {std::pair(0.7, 52.0), std::pair(0.7, 52.0), std::pair(0.4, 208.0), std::pair(0.2, 139.0)}) {
                if (chance(probability)) {
                    slowest = std::max(slowest, drawLogNormal(work, 1.0) + 8);
                }
            }
            program.pauses.push_back(pause + slowest);
            const bool fansOut = i + 1 < turns && chance(kind.fanOutChance);
            program.fanOutWidths.push_back(
                fansOut ? std::max(1U, static_cast<unsigned>(std::round(drawLogNormal(kind.fanOutWidth, 0.3)))) : 0);
            idleDuration += idleTurnDuration(program.outputs.back()) + 2 * networkDelay
                + (i + 1 < turns ? program.pauses.back() : 0);
            idleDuration += fansOut
                ? subAgentTurns * (idleTurnDuration(1 + (kind.events - 1) * kind.tokensPerEvent) + 2 * networkDelay)
                : 0;
        }
        program.targetDuration = kind.targetDurationFactor * idleDuration + targetDurationMargin;
        program.valueFactor = 0.3 + 0.7 * std::min(4.0, turns / kind.turns);
        const std::size_t number = programs_.size();
        programs_.push_back(std::move(program));
        programs_[number].mainConversation = addConversation(
            {number, "p" + std::to_string(number), {}, kind.sharedPrefixTokens, kind.sharedPrefixTokens, turns, true});
        startTurn(programs_[number].mainConversation);
    }
    double drawOutput(const ProgramKind &kind)
    {
        const double events = std::round(std::clamp(drawLogNormal(kind.events, 0.8), 1.0, kind.events * 4));
        return 1 + (events - 1) * kind.tokensPerEvent;
    }
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    std::size_t addConversation(Conversation conversation)
    {
        conversations_.push_back(std::move(conversation));
        return conversations_.size() - 1;
    }
    void startTurn(std::size_t conversationNumber)
    {
        Conversation &conversation = conversations_[conversationNumber];
        Program &program = programs_[conversation.program];
        const ProgramKind &kind = load_.kinds[program.kind];
        const std::size_t turnsDone = conversation.isMain ? program.inputs.size() - conversation.turnsLeft : 0;
        Turn turn;
        turn.conversation = conversationNumber;
        turn.outputTokens = conversation.isMain ? program.outputs[turnsDone] : drawOutput(kind);
        conversation.prompt += conversation.isMain ? program.inputs[turnsDone] : kind.laterTurnTokens;
        turn.id = conversation.name + "-" + std::to_string(conversation.turnsLeft);
        const std::size_t number = turns_.size();
        turns_.push_back(turn);
        SlotRequest slotRequest;
        slotRequest.turn = turn.id;
        slotRequest.program = programNameOf(conversationNumber);
        slotRequest.service = "engines";
        slotRequest.failureDomain = domainOf(conversation.program);
        slotRequest.rank = kind.rank;
        slotRequest.isInProgress = program.hasStarted;
        slotRequest.isLate = now_ > program.began + program.targetDuration;
        slotRequest.timeLeft = Milliseconds(3000);
        slotRequest.promptTokens = static_cast<std::uint32_t>(conversation.prompt);
        slotRequest.outputTokens = static_cast<std::uint32_t>(turn.outputTokens);
        slotRequest.account = program.account;
        slotRequest.programTimeLeft = Milliseconds(std::llround(program.began + program.targetDuration - now_));
        unplacedTurns_[number] = std::move(slotRequest);
        place(number);
    }
    void place(std::size_t number)
    {
        if (hasLeader_ && isRefused(number)) {
            Program &program = programs_[conversations_[turns_[number].conversation].program];
            program.isRefused = true;
            program.ended = now_;
            unplacedTurns_.erase(number);
        } else if (hasLeader_) {
            placement_->request(unplacedTurns_.at(number), timeAt(now_),
                                [this, number](const std::string &engine) { send(number, engine); });
        }
    }
    bool isRefused(std::size_t number)
    {
        return placement_->refuse(unplacedTurns_.at(number), timeAt(now_)).has_value();
    }
    void replaceLeader()
    {
        // Entries repeat unanswered requests at the new leader.
        hasLeader_ = false;
        formerLeader_ = std::move(placement_);
        placement_ = std::move(follower_);
        for (const BackendServer &server : servers_) {
            const double slowness = placement_->rates().slowness(server.service, server.id, 0, timeAt(now_));
            unusualEnginesAtTakeover_ += slowness == 1 ? 0 : 1;
        }
        follower_ = std::make_unique<TurnPlacement>(random_(), load_.placement);
        schedule(now_ + load_.leaderLoss->electionTime, [this] {
            hasLeader_ = true;
            std::vector<std::size_t> waiting;
            for (const auto &[number, slotRequest] : unplacedTurns_) {
                waiting.push_back(number);
            }
            for (const std::size_t number : waiting) {
                place(number);
            }
        });
        schedule(now_ + load_.leaderLoss->electionTime + load_.leaderLoss->serverListDelay,
                 [this] { placement_->setServers(servers_, timeAt(now_)); });
    }
    [[nodiscard]] std::string programNameOf(std::size_t conversation) const
    {
        return "p" + std::to_string(conversations_[conversation].program);
    }
    void send(std::size_t turnNumber, const std::string &engine)
    {
        unplacedTurns_.erase(turnNumber);
        decisions_.emplace_back(turns_[turnNumber].id, engine);
        // Without an assigned engine, the entry hashes the program's name.
        const std::size_t conversation = turns_[turnNumber].conversation;
        const std::size_t number
            = engine.empty() ? stableHash(programNameOf(conversation)) % load_.engines : std::stoul(engine);
        turns_[turnNumber].engine = std::to_string(number);
        turns_[turnNumber].promptSource = placement_->promptSourceOf(turns_[turnNumber].id);
        Program &program = programs_[conversations_[conversation].program];
        turns_[turnNumber].formerEngine = std::exchange(program.lastEngine, number);
        program.firstWait = program.hasStarted ? program.firstWait : now_ - program.began;
        program.hasStarted = true;
        schedule(now_ + networkDelay + load_.engine.requestSetupTime,
                 [this, turnNumber, number] { arriveAtEngine(turnNumber, number); });
    }
    void arriveAtEngine(std::size_t turnNumber, std::size_t engine)
    {
        const Turn &turn = turns_[turnNumber];
        const Conversation &conversation = conversations_[turn.conversation];
        ModelEngine::Run run {turnNumber,
                              conversation.name,
                              conversation.parent,
                              conversation.prompt,
                              conversation.parentPrompt,
                              load_.kinds[programs_[conversation.program].kind].sharedPrefixTokens,
                              0,
                              turn.outputTokens,
                              0,
                              0};
        const double kept = turn.formerEngine ? engines_[*turn.formerEngine].keptTokens(run) : 0;
        const double missing = kept - engines_[engine].keptTokens(run);
        const bool isFetched = missing > 0 && turn.promptSource == std::to_string(turn.formerEngine.value_or(engine));
        if (!isFetched) {
            recomputedTokens_ += std::max(missing, 0.0);
            startRun(std::move(run), engine);
            return;
        }
        run.fetchedPrompt = kept;
        // Transfers to an engine run one after another.
        fetchedTokens_ += missing;
        linkFreeAt_[engine] = std::max(linkFreeAt_[engine], now_) + missing / load_.engine.fetchTokensPerMs;
        schedule(linkFreeAt_[engine], [this, run, engine] { startRun(run, engine); });
    }
    void startRun(ModelEngine::Run run, std::size_t engine)
    {
        engines_[engine].add(std::move(run));
        if (!isBusy_[engine]) {
            isBusy_[engine] = true;
            step(engine);
        }
    }
    void step(std::size_t engine)
    {
        std::vector<std::size_t> begun;
        std::vector<std::size_t> done;
        const Ms time = engines_[engine].step(begun, done);
        for (const std::size_t turn : begun) {
            turns_[turn].firstTokenAt = now_ + time;
        }
        schedule(now_ + time, [this, engine, done] {
            for (const std::size_t turn : done) {
                schedule(now_ + networkDelay, [this, turn] { finishTurn(turn); });
            }
            isBusy_[engine] = !engines_[engine].isIdle();
            if (isBusy_[engine]) {
                step(engine);
            }
        });
    }
    void finishTurn(std::size_t turnNumber)
    {
        const Turn turn = turns_[turnNumber];
        recordSample(turn);
        placement_->release(turn.id, timeAt(now_));
        follower_->recordLastEngine(programNameOf(turn.conversation), turn.engine, timeAt(now_));
        Conversation &conversation = conversations_[turn.conversation];
        conversation.prompt += turn.outputTokens;
        --conversation.turnsLeft;
        if (!conversation.isMain) {
            conversation.turnsLeft == 0 ? endSubAgent(conversation.program) : startTurn(turn.conversation);
            return;
        }
        Program &program = programs_[conversation.program];
        const std::size_t turnsDone = program.inputs.size() - conversation.turnsLeft;
        if (conversation.turnsLeft == 0) {
            program.isDone = true;
            program.ended = now_;
            return;
        }
        // Clients abandon programs that are far past their target.
        if (now_ - program.began > 2 * program.targetDuration + 3000) {
            return;
        }
        const std::size_t conversationNumber = turn.conversation;
        const unsigned fanOutWidth = program.fanOutWidths[turnsDone - 1];
        if (fanOutWidth == 0) {
            schedule(now_ + program.pauses[turnsDone - 1],
                     [this, conversationNumber] { startTurn(conversationNumber); });
            return;
        }
        program.subAgents = fanOutWidth;
        const std::size_t programNumber = conversation.program;
        const double prompt = conversation.prompt;
        const std::string name = conversation.name;
        for (unsigned i = 0; i < fanOutWidth; ++i) {
            const std::string sub = name + "." + std::to_string(turnsDone) + "." + std::to_string(i);
            startTurn(addConversation({programNumber, sub, name, prompt, prompt, subAgentTurns, false}));
        }
    }
    void recordSample(const Turn &turn)
    {
        ++turnsDone_[std::stoul(turn.engine)];
        ServiceSample sample;
        sample.service = "engines";
        sample.engine = turn.engine;
        sample.turns = placement_->turnsRunningAt(turn.engine);
        sample.streamTokens = static_cast<std::uint32_t>(turn.outputTokens) - 1;
        sample.stream = Milliseconds(std::llround(now_ - networkDelay - turn.firstTokenAt));
        placement_->recordSample(sample, timeAt(now_));
        follower_->recordSample(sample, timeAt(now_));
    }
    void endSubAgent(std::size_t programNumber)
    {
        Program &program = programs_[programNumber];
        if (--program.subAgents != 0) {
            return;
        }
        const std::size_t mainConversation = program.mainConversation;
        const std::size_t turnsDone = program.inputs.size() - conversations_[mainConversation].turnsLeft;
        schedule(now_ + program.pauses[turnsDone - 1], [this, mainConversation] { startTurn(mainConversation); });
    }

    FleetLoad load_;
    std::mt19937_64 random_;
    std::unique_ptr<TurnPlacement> placement_;
    std::unique_ptr<TurnPlacement> follower_;
    //! Kept alive so that its waiting turns stay unanswered.
    std::unique_ptr<TurnPlacement> formerLeader_;
    std::vector<BackendServer> servers_;
    bool hasLeader_ = true;
    //! Turns that wait for a leader or a slot.
    std::map<std::size_t, SlotRequest> unplacedTurns_;
    std::vector<std::pair<std::string, std::string>> decisions_;
    std::vector<ModelEngine> engines_;
    std::vector<bool> isBusy_;
    //! End of the last transfer of a prompt to each engine.
    std::vector<Ms> linkFreeAt_;
    double fetchedTokens_ = 0;
    double recomputedTokens_ = 0;
    std::vector<unsigned> turnsDone_;
    std::size_t unusualEnginesAtTakeover_ = 0;
    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0;
    Ms now_ = 0;
    std::deque<Program> programs_;
    std::deque<Conversation> conversations_;
    std::deque<Turn> turns_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_ENGINE_FLEET_HPP_INCLUDED
