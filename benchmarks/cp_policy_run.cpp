#include "cp_policy_run.hpp"

#include <cardamompost/policy/cp_policy_registry.hpp>

#include <boost/json/object.hpp>

namespace cardamompost::bench
{

namespace json = boost::json;

namespace
{

constexpr Milliseconds reportInterval {250};
constexpr Milliseconds callDeadline {600'000};

standin::EngineSettings engineSettings()
{
    standin::EngineSettings settings;
    settings.slots = 8;
    settings.prefillMsPerToken = 0.5;
    settings.decodeMsPerToken = 20.0;
    settings.batchSlowdown = 0.03;
    settings.cacheTokens = 40'000;
    return settings;
}

int rankOf(const std::string &workClass)
{
    if (workClass == "archive-pull") {
        return 5;
    }
    return workClass == "trim-check" || workClass == "gate-reshuffle" ? 1 : 0;
}

std::string randomWords(std::int64_t count, std::mt19937_64 &random)
{
    std::string text;
    for (std::int64_t i = 0; i < count; ++i) {
        text += "w" + std::to_string(random() % 1000) + " ";
    }
    return text;
}

double toMilliseconds(TimePoint::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

struct PolicyRun::Program {
    std::string id;
    cli::LoadShape shape;
    std::int64_t turnsLeft = 0;
    std::uint32_t turn = 0;
    json::array messages;
    std::int64_t historyTokens = 0;
    std::int64_t attainedTokens = 0;
    std::int64_t maxTokens = 0;
    std::string warmReplica;
    TimePoint submitted {};
    double workMs = 0;
    double idealMs = 0;
    std::int64_t promptTokens = 0;
};

PolicyRun::PolicyRun(PolicyRunOptions options)
    : options_(std::move(options))
    , profile_(*cli::findProfile(options_.profile))
    , random_(options_.seed)
{
    for (int i = 0; i < options_.replicas; ++i) {
        engines_.push_back(std::make_unique<standin::EngineModel>(engineSettings(), static_cast<std::uint64_t>(i)));
    }
    engines_.front()->faults.slowFactor = options_.slowFactor;
    wakeTimes_.resize(engines_.size(), TimePoint::max());
    inFlight_.resize(engines_.size());
    CallSchedulerOptions scheduler;
    scheduler.queueLimit = options_.queueLimit;
    scheduler.seed = options_.seed;
    PolicyRegistry &registry = PolicyRegistry::instance();
    scheduler_ = std::make_unique<CallScheduler>(scheduler, registry.makeQueuePolicy(options_.queuePolicy),
                                                 registry.makePlacementPolicy(options_.placementPolicy));
    scheduler_->setSpeed({engineSettings().prefillMsPerToken, engineSettings().decodeMsPerToken});
}

PolicyRun::~PolicyRun() = default;

void PolicyRun::schedule(TimePoint time, std::function<void()> action)
{
    events_.emplace(std::max(time, now_), std::move(action));
}

PolicyRunResult PolicyRun::run()
{
    refreshReplicas();
    scheduleNextArrival();
    const TimePoint end = start_ + Milliseconds(static_cast<std::int64_t>(options_.seconds * 1000));
    while (!events_.empty() && events_.begin()->first <= end) {
        now_ = events_.begin()->first;
        const auto action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    result_.utilisation = slotsInUseSum_ / slotsSum_;
    result_.goodput /= options_.seconds;
    result_.finishedPerSecond = static_cast<double>(finishedPrograms_) / options_.seconds;
    return std::move(result_);
}

void PolicyRun::refreshReplicas()
{
    for (const ReplicaView &replica : scheduler_->replicas()) {
        slotsInUseSum_ += static_cast<double>(replica.ownInFlight);
        slotsSum_ += replica.slots;
    }
    std::vector<ReplicaView> views;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        views.push_back({"replica-" + std::to_string(i), "domain", engineSettings().slots});
    }
    scheduler_->setReplicas(std::move(views));
    place();
    schedule(now_ + reportInterval, [this] { refreshReplicas(); });
}

void PolicyRun::scheduleNextArrival()
{
    const double seconds = toMilliseconds(now_ - start_) / 1000.0;
    const bool isBurst
        = profile_.burstEverySeconds > 0 && std::fmod(seconds, profile_.burstEverySeconds) < profile_.burstSeconds;
    const double rate = options_.programsPerSecond * (isBurst ? profile_.burstFactor : 1.0);
    const double gap = std::exponential_distribution<>(rate)(random_);
    schedule(now_ + std::chrono::microseconds(static_cast<std::int64_t>(gap * 1e6)), [this] {
        std::vector<double> shares;
        for (const cli::LoadShape &shape : profile_.shapes) {
            shares.push_back(shape.share);
        }
        auto program = std::make_shared<Program>();
        program->shape
            = profile_.shapes[std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_)];
        program->id = "program-" + std::to_string(nextProgram_++);
        program->turnsLeft = program->shape.turns.draw(random_);
        startTurn(program);
        scheduleNextArrival();
    });
}

void PolicyRun::startTurn(const std::shared_ptr<Program> &program)
{
    --program->turnsLeft;
    ++program->turn;
    program->maxTokens = program->shape.maxTokens.draw(random_);
    program->messages.push_back(
        json::object {{"role", "user"}, {"content", randomWords(program->shape.promptWords.draw(random_), random_)}});
    submit(program);
}

void PolicyRun::submit(const std::shared_ptr<Program> &program)
{
    program->submitted = now_;
    WaitingCall call;
    call.id = nextCall_++;
    call.workClass = program->shape.workClass;
    call.rank = rankOf(program->shape.workClass);
    call.arrived = now_;
    call.deadline = now_ + callDeadline;
    call.attainedTokens = program->attainedTokens;
    call.turn = program->turn;
    call.maxTokens = program->maxTokens;
    call.warmReplica = program->warmReplica;
    call.warmTokens = program->historyTokens;
    waiting_.emplace(call.id, program);
    const std::uint64_t id = call.id;
    if (!scheduler_->add(std::move(call))) {
        drop(id);
    }
    place();
}

void PolicyRun::drop(std::uint64_t callId)
{
    const auto dropped = waiting_.extract(callId);
    if (!dropped.empty()) {
        ++result_.classes[dropped.mapped()->shape.workClass].shedCalls;
    }
}

void PolicyRun::place()
{
    for (const PlacementDecision &decision : scheduler_->place(now_)) {
        send(decision);
    }
    for (const DroppedCall &dropped : scheduler_->takeDropped(now_)) {
        drop(dropped.call);
    }
}

void PolicyRun::send(const PlacementDecision &decision)
{
    const std::shared_ptr<Program> program = waiting_.extract(decision.call).mapped();
    const auto index = static_cast<std::size_t>(std::stoul(decision.replica.substr(decision.replica.find('-') + 1)));
    standin::EngineCall call;
    call.id = "call-" + std::to_string(decision.call);
    call.program = program->id;
    call.priority = rankOf(program->shape.workClass);
    call.deadline = now_ + callDeadline;
    call.maxTokens = program->maxTokens;
    program->warmReplica = decision.replica;
    inFlight_[index].emplace(call.id, program);
    engines_[index]->submit(std::move(call), program->messages, now_);
    wakeEngine(index);
}

void PolicyRun::wakeEngine(std::size_t index)
{
    const TimePoint next = engines_[index]->nextTokenTime();
    if (next < wakeTimes_[index]) {
        wakeTimes_[index] = next;
        schedule(next, [this, index, next] {
            if (wakeTimes_[index] == next) {
                wakeTimes_[index] = TimePoint::max();
                runEngine(index);
            }
        });
    }
}

void PolicyRun::runEngine(std::size_t index)
{
    engines_[index]->run(now_);
    std::vector<std::pair<std::shared_ptr<Program>, std::string>> done;
    for (const auto &[id, program] : inFlight_[index]) {
        if (engines_[index]->find(id)->isDone) {
            done.emplace_back(program, id);
        }
    }
    for (const auto &[program, id] : done) {
        inFlight_[index].erase(id);
        scheduler_->onFinished("replica-" + std::to_string(index));
        finishTurn(program, *engines_[index]->find(id), index);
    }
    wakeEngine(index);
    if (!done.empty()) {
        place();
    }
}

void PolicyRun::finishTurn(const std::shared_ptr<Program> &program, const standin::EngineCall &call,
                           std::size_t /*engine*/)
{
    const standin::EngineSettings settings = engineSettings();
    const auto produced = static_cast<std::int64_t>(call.words.size());
    program->workMs += toMilliseconds(now_ - program->submitted);
    result_.promptTokens += call.promptTokens;
    result_.recomputedTokens
        += std::max<std::int64_t>(0, std::min(program->historyTokens, call.promptTokens) - call.cachedTokens);
    const std::int64_t newTokens = call.promptTokens - program->historyTokens;
    program->idealMs += static_cast<double>(newTokens) * settings.prefillMsPerToken
        + static_cast<double>(produced) * settings.decodeMsPerToken;
    program->attainedTokens += call.promptTokens - call.cachedTokens + produced;
    program->historyTokens = call.promptTokens + produced;
    std::string answer;
    for (const std::string &word : call.words) {
        answer += word;
    }
    program->messages.push_back(json::object {{"role", "assistant"}, {"content", answer}});
    if (program->turnsLeft > 0) {
        schedule(now_ + Milliseconds(program->shape.pauseMs.draw(random_)), [this, program] { startTurn(program); });
        return;
    }
    ++finishedPrograms_;
    result_.goodput += program->idealMs;
    ClassResult &result = result_.classes[program->shape.workClass];
    result.workMs.push_back(program->workMs);
    result.stretch.push_back(program->workMs / program->idealMs);
    for (const auto &engine : engines_) {
        engine->release(program->id);
    }
}

} // namespace cardamompost::bench
