#ifndef CARDAMOMPOST_TESTS_CP_ENGINE_FLEET_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_ENGINE_FLEET_HPP_INCLUDED

#include "cp_model_engine.hpp"

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <cmath>
#include <memory>
#include <optional>
#include <queue>

namespace cardamompost::tests
{

//! A kind of agent program.
struct ProgramKind {
    std::string name;
    unsigned rank = 0;
    double perSecond = 0;
    double worth = 1;
    double lateWorth = 0.3;
    double turns = 4;
    //! Of a program's own prompt at its first turn, and what each later one adds.
    double tokensIn = 650;
    double tokensMore = 40;
    //! At the begin of each prompt, and kept at every engine.
    double tokensShared = 512;
    //! Events of an answer: the first comes with the first token, each later one after so many more.
    double events = 2.9;
    double tokensAnEvent = 25;
    Ms pause = 60;
    //! Chance of sub-agents after a turn, and how many; each runs two turns.
    double fan = 0;
    double width = 5;
    //! A program should be finished within so many times its time on idle engines, and a margin.
    double aim = 1.4;
};

//! The leader that places turns is lost, and a member takes over that followed where programs ran.
struct LeaderLoss {
    Ms at = 0;
    //! Until the new one leads, and until it has read the list of engines besides.
    Ms gap = 200;
    Ms listGap = 100;
};

//! More programs of a kind for a while; of all kinds where the name is empty.
struct LoadBurst {
    Ms from = 0;
    Ms until = 0;
    double times = 1;
    std::string kind;
};

struct FleetLoad {
    EngineModel engine;
    std::size_t engines = 77;
    std::vector<ProgramKind> kinds;
    std::vector<LoadBurst> bursts;
    std::optional<LeaderLoss> loss;
    Ms length = 34'000;
};

//! What callers of one kind got.
struct KindResult {
    double owed = 0;
    double earned = 0;
    unsigned programs = 0;
    unsigned inTime = 0;
    unsigned late = 0;

    [[nodiscard]] double share() const
    {
        return owed == 0 ? 1 : earned / owed;
    }
};

//! Plays programs against a placement and a fleet of engines, in virtual time: what callers get of a load.
class EngineFleet
{
public:
    EngineFleet(FleetLoad load, std::uint64_t seed)
        : load_(std::move(load))
        , random_(seed)
        , placement_(std::make_unique<TurnPlacement>(seed))
        , follower_(std::make_unique<TurnPlacement>(seed + 1))
    {
        for (std::size_t i = 0; i < load_.engines; ++i) {
            engines_.emplace_back(load_.engine, i % 3 == 2 ? load_.engine.slowness : 1.0);
            BackendServer server;
            server.id = std::to_string(i);
            server.service = "engines";
            server.failureDomain = domainOf(i);
            server.slots = load_.engine.slots;
            servers_.push_back(std::move(server));
        }
        isBusy_.resize(load_.engines);
        placement_->setServers(servers_, timeAt(0));
    }

    std::map<std::string, KindResult> run()
    {
        for (std::size_t kind = 0; kind < load_.kinds.size(); ++kind) {
            at(0, [this, kind] { arrive(kind); });
        }
        at(0, [this] { tick(); });
        if (load_.loss) {
            at(load_.loss->at, [this] { loseLeader(); });
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
            const bool isInTime = program.isDone && took <= program.aim;
            const bool isLate = program.isDone && !isInTime && took <= 2 * program.aim;
            ++result.programs;
            result.inTime += isInTime ? 1 : 0;
            result.late += isLate ? 1 : 0;
            result.owed += kind.worth * program.size;
            result.earned += program.size * (isInTime ? kind.worth : isLate ? kind.worth * kind.lateWorth : 0);
        }
        return results;
    }
    [[nodiscard]] double tokensRead() const
    {
        double sum = 0;
        for (const ModelEngine &engine : engines_) {
            sum += engine.tokensRead();
        }
        return sum;
    }

private:
    static constexpr Ms way = 13;
    static constexpr Ms aimMargin = 200;
    static constexpr Ms tickEvery = 10;
    static constexpr unsigned subAgentTurns = 2;

    struct Line {
        std::size_t program = 0;
        std::string name;
        std::string parent;
        double parentPrompt = 0;
        double prompt = 0;
        unsigned turnsLeft = 0;
        bool isMain = false;
    };
    struct Turn {
        std::size_t line = 0;
        double out = 0;
        std::string id;
        std::string engine;
    };
    struct Program {
        std::size_t kind = 0;
        Ms began = 0;
        Ms aim = 0;
        Ms ended = 0;
        double size = 1;
        bool isDone = false;
        bool hasRun = false;
        unsigned subAgents = 0;
        std::size_t main = 0;
        //! Drawn ahead, so that policies meet the same programs.
        std::vector<double> inputs;
        std::vector<double> outputs;
        std::vector<Ms> pauses;
        std::vector<unsigned> widths;
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
    void at(Ms time, std::function<void()> action)
    {
        events_.push({time, sequence_++, std::move(action)});
    }
    double spreadAround(double mean, double spread)
    {
        return mean * std::exp(std::normal_distribution<double>(-spread * spread / 2, spread)(random_));
    }
    double rateNow(const ProgramKind &kind) const
    {
        double rate = kind.perSecond;
        for (const LoadBurst &burst : load_.bursts) {
            const bool isOn = now_ >= burst.from && now_ < burst.until;
            rate *= isOn && (burst.kind.empty() || burst.kind == kind.name) ? burst.times : 1;
        }
        return rate;
    }
    void tick()
    {
        placement_->tick(timeAt(now_));
        follower_->tick(timeAt(now_));
        if (now_ < load_.length + 20'000) {
            at(now_ + tickEvery, [this] { tick(); });
        }
    }
    void arrive(std::size_t kindNumber)
    {
        const ProgramKind &kind = load_.kinds[kindNumber];
        if (now_ >= load_.length) {
            return;
        }
        begin(kindNumber);
        const double rate = rateNow(kind);
        at(now_ + std::exponential_distribution<double>(rate / 1000)(random_),
           [this, kindNumber] { arrive(kindNumber); });
    }
    [[nodiscard]] Ms idleTurn(double out) const
    {
        return load_.engine.setUp + out * (load_.engine.step + load_.engine.stepPerTurn) + 10;
    }
    void begin(std::size_t kindNumber)
    {
        const ProgramKind &kind = load_.kinds[kindNumber];
        Program program;
        program.kind = kindNumber;
        program.began = now_;
        const auto turns
            = static_cast<unsigned>(std::clamp(std::round(spreadAround(kind.turns, 0.4)), 1.0, kind.turns * 2));
        Ms idle = 0;
        for (unsigned i = 0; i < turns; ++i) {
            const double input = i == 0 ? kind.tokensIn : kind.tokensMore;
            program.inputs.push_back(std::min(spreadAround(input, 0.7), input * 5));
            program.outputs.push_back(drawOutput(kind));
            Ms pause = spreadAround(kind.pause, 0.6);
            Ms slowest = 0;
            for (const auto &[share, work] :
                 {std::pair(0.7, 52.0), std::pair(0.7, 52.0), std::pair(0.4, 208.0), std::pair(0.2, 139.0)}) {
                if (chance(share)) {
                    slowest = std::max(slowest, spreadAround(work, 1.0) + 8);
                }
            }
            program.pauses.push_back(pause + slowest);
            const bool fans = i + 1 < turns && chance(kind.fan);
            program.widths.push_back(
                fans ? std::max(1U, static_cast<unsigned>(std::round(spreadAround(kind.width, 0.3)))) : 0);
            idle += idleTurn(program.outputs.back()) + 2 * way + (i + 1 < turns ? program.pauses.back() : 0);
            idle += fans ? subAgentTurns * (idleTurn(1 + (kind.events - 1) * kind.tokensAnEvent) + 2 * way) : 0;
        }
        program.aim = kind.aim * idle + aimMargin;
        program.size = 0.3 + 0.7 * std::min(4.0, turns / kind.turns);
        const std::size_t number = programs_.size();
        programs_.push_back(std::move(program));
        programs_[number].main
            = addLine({number, "p" + std::to_string(number), {}, kind.tokensShared, kind.tokensShared, turns, true});
        startTurn(programs_[number].main);
    }
    double drawOutput(const ProgramKind &kind)
    {
        const double events = std::round(std::clamp(spreadAround(kind.events, 0.8), 1.0, kind.events * 4));
        return 1 + (events - 1) * kind.tokensAnEvent;
    }
    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }
    std::size_t addLine(Line line)
    {
        lines_.push_back(std::move(line));
        return lines_.size() - 1;
    }
    void startTurn(std::size_t lineNumber)
    {
        Line &line = lines_[lineNumber];
        Program &program = programs_[line.program];
        const ProgramKind &kind = load_.kinds[program.kind];
        const std::size_t done = line.isMain ? program.inputs.size() - line.turnsLeft : 0;
        Turn turn;
        turn.line = lineNumber;
        turn.out = line.isMain ? program.outputs[done] : drawOutput(kind);
        line.prompt += line.isMain ? program.inputs[done] : kind.tokensMore;
        turn.id = line.name + "-" + std::to_string(line.turnsLeft);
        const std::size_t number = turns_.size();
        turns_.push_back(turn);
        TurnToPlace unplacedTurn;
        unplacedTurn.turn = turn.id;
        unplacedTurn.program = programNameOf(lineNumber);
        unplacedTurn.service = "engines";
        unplacedTurn.failureDomain = domainOf(line.program);
        unplacedTurn.rank = kind.rank;
        unplacedTurn.isInProgress = program.hasRun;
        unplacedTurn.isLate = now_ > program.began + program.aim;
        unplacedTurn.timeLeft = Milliseconds(3000);
        unplaced_[number] = std::move(unplacedTurn);
        place(number);
    }
    void place(std::size_t number)
    {
        if (hasLeader_) {
            placement_->request(unplaced_.at(number), timeAt(now_),
                                [this, number](const std::string &engine) { send(number, engine); });
        }
    }
    void loseLeader()
    {
        // What it still holds is asked for again at the next one, as entries do.
        hasLeader_ = false;
        lost_ = std::move(placement_);
        placement_ = std::move(follower_);
        follower_ = std::make_unique<TurnPlacement>(random_());
        at(now_ + load_.loss->gap, [this] {
            hasLeader_ = true;
            std::vector<std::size_t> waiting;
            for (const auto &[number, unplacedTurn] : unplaced_) {
                waiting.push_back(number);
            }
            for (const std::size_t number : waiting) {
                place(number);
            }
        });
        at(now_ + load_.loss->gap + load_.loss->listGap, [this] { placement_->setServers(servers_, timeAt(now_)); });
    }
    [[nodiscard]] std::string programNameOf(std::size_t line) const
    {
        return "p" + std::to_string(lines_[line].program);
    }
    void send(std::size_t turnNumber, const std::string &engine)
    {
        unplaced_.erase(turnNumber);
        // An entry that is named no engine chooses by the program's name.
        const std::size_t line = turns_[turnNumber].line;
        const std::size_t number
            = engine.empty() ? stableHash(programNameOf(line)) % engines_.size() : std::stoul(engine);
        turns_[turnNumber].engine = std::to_string(number);
        programs_[lines_[line].program].hasRun = true;
        at(now_ + way + load_.engine.setUp, [this, turnNumber, number] { reach(turnNumber, number); });
    }
    void reach(std::size_t turnNumber, std::size_t engine)
    {
        const Turn &turn = turns_[turnNumber];
        const Line &line = lines_[turn.line];
        engines_[engine].add({turnNumber, line.name, line.parent, line.prompt, line.parentPrompt,
                              load_.kinds[programs_[line.program].kind].tokensShared, 0, turn.out, 0});
        if (!isBusy_[engine]) {
            isBusy_[engine] = true;
            step(engine);
        }
    }
    void step(std::size_t engine)
    {
        std::vector<std::size_t> done;
        const Ms time = engines_[engine].step(done);
        at(now_ + time, [this, engine, done] {
            for (const std::size_t turn : done) {
                at(now_ + way, [this, turn] { finish(turn); });
            }
            isBusy_[engine] = !engines_[engine].isIdle();
            if (isBusy_[engine]) {
                step(engine);
            }
        });
    }
    void finish(std::size_t turnNumber)
    {
        const Turn turn = turns_[turnNumber];
        placement_->release(turn.id, timeAt(now_));
        follower_->noteRan(programNameOf(turn.line), turn.engine, timeAt(now_));
        Line &line = lines_[turn.line];
        line.prompt += turn.out;
        --line.turnsLeft;
        if (!line.isMain) {
            line.turnsLeft == 0 ? endSubAgent(line.program) : startTurn(turn.line);
            return;
        }
        Program &program = programs_[line.program];
        const std::size_t done = program.inputs.size() - line.turnsLeft;
        if (line.turnsLeft == 0) {
            program.isDone = true;
            program.ended = now_;
            return;
        }
        // Callers leave what is far too late.
        if (now_ - program.began > 2 * program.aim + 3000) {
            return;
        }
        const std::size_t lineNumber = turn.line;
        const unsigned width = program.widths[done - 1];
        if (width == 0) {
            at(now_ + program.pauses[done - 1], [this, lineNumber] { startTurn(lineNumber); });
            return;
        }
        program.subAgents = width;
        const std::size_t programNumber = line.program;
        const double prompt = line.prompt;
        const std::string name = line.name;
        for (unsigned i = 0; i < width; ++i) {
            const std::string sub = name + "." + std::to_string(done) + "." + std::to_string(i);
            startTurn(addLine({programNumber, sub, name, prompt, prompt, subAgentTurns, false}));
        }
    }
    void endSubAgent(std::size_t programNumber)
    {
        Program &program = programs_[programNumber];
        if (--program.subAgents != 0) {
            return;
        }
        const std::size_t main = program.main;
        const std::size_t done = program.inputs.size() - lines_[main].turnsLeft;
        at(now_ + program.pauses[done - 1], [this, main] { startTurn(main); });
    }

    FleetLoad load_;
    std::mt19937_64 random_;
    std::unique_ptr<TurnPlacement> placement_;
    std::unique_ptr<TurnPlacement> follower_;
    //! Kept, since nobody answers the turns that it holds.
    std::unique_ptr<TurnPlacement> lost_;
    std::vector<BackendServer> servers_;
    bool hasLeader_ = true;
    //! Turns that wait for a leader, or for a place.
    std::map<std::size_t, TurnToPlace> unplaced_;
    std::vector<ModelEngine> engines_;
    std::vector<bool> isBusy_;
    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0;
    Ms now_ = 0;
    std::deque<Program> programs_;
    std::deque<Line> lines_;
    std::deque<Turn> turns_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_ENGINE_FLEET_HPP_INCLUDED
