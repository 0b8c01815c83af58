#include "cp_call_runner.hpp"

#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <fmt/format.h>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr double retriesPerAttempt = 0.1;
constexpr double retryBurst = 10.0;
constexpr Milliseconds minReleaseBackoff {500};
constexpr Milliseconds maxReleaseBackoff {10'000};
constexpr Milliseconds handoverPollInterval {100};
constexpr Milliseconds leasePollInterval {20};

} // namespace

std::int64_t wallClockMs()
{
    return toMs(std::chrono::system_clock::now().time_since_epoch());
}

CallRunner::CallRunner(asio::any_io_executor executor, Parts parts)
    : executor_(std::move(executor))
    , parts_(parts)
{
}

void CallRunner::resumePartition(PartitionId partition, Epoch epoch)
{
    std::vector<ProgramId> open;
    std::vector<ProgramId> ended;
    {
        PartitionSlot &slot = parts_.table.slot(partition);
        const std::lock_guard lock(slot.mutex);
        for (const auto &[id, owned] : slot.programs) {
            if (owned.program.firstOpenCall()) {
                open.push_back(id);
            } else if (owned.program.hasEnded()) {
                ended.push_back(id);
            }
        }
    }
    for (const ProgramId &program : open) {
        startNext(partition, epoch, program);
    }
    for (const ProgramId &program : ended) {
        startRelease(partition, epoch, program);
    }
}

std::optional<CallRunner::Task> CallRunner::takeTask(PartitionId partition, Epoch epoch, const ProgramId &program)
{
    std::optional<Task> task;
    const auto view = parts_.replica.view();
    parts_.table.withProgram(partition, epoch, program, [&](PartitionSlot &slot, OwnedProgram &owned) {
        const auto sequence = owned.program.firstOpenCall();
        if (!sequence || owned.running != 0 || slot.isHandingOver) {
            return;
        }
        owned.running = *sequence;
        auto &live = owned.live[*sequence];
        if (!live) {
            live = std::make_shared<LiveCall>();
        }
        const Call &call = *owned.program.findCall(*sequence);
        const WorkClass *workClass = view->configuration.findClass(owned.program.created().workClass);
        task.emplace();
        task->partition = partition;
        task->epoch = epoch;
        task->program = program;
        task->sequence = *sequence;
        task->live = live;
        task->created = owned.program.created();
        task->accepted = call.accepted;
        task->rank = workClass == nullptr ? 0 : workClass->rank;
        task->deadlineMs
            = call.acceptedMs + (workClass == nullptr ? Milliseconds(600'000) : workClass->deadline).count();
        if (task->created.deadlineMs != 0) {
            task->deadlineMs = std::min(task->deadlineMs, task->created.deadlineMs);
        }
        task->attempts = call.attempts;
        task->hasInheritedAttempt = !call.attempts.empty();
        task->history = historyMessages(owned.program, *sequence);
        task->historyTokens = owned.program.historyTokens();
        const OwnedProgram *parent = slot.find(task->created.parent);
        task->attainedTokens
            = owned.program.attainedTokens() + (parent == nullptr ? 0 : parent->program.attainedTokens());
        task->warmReplica = owned.program.lastBackend();
        task->startedAt = std::chrono::steady_clock::now();
    });
    return task;
}

void CallRunner::startNext(PartitionId partition, Epoch epoch, const ProgramId &program)
{
    std::optional<Task> task = takeTask(partition, epoch, program);
    if (task) {
        asio::co_spawn(asio::make_strand(executor_), run(std::move(*task)), asio::detached);
    }
}

asio::awaitable<void> CallRunner::run(Task task)
{
    ++running_;
    RunResult runResult;
    if (task.accepted.kind == CallKind::Model) {
        runResult = co_await runModel(task);
    } else {
        runResult = co_await runService(task);
    }
    bool isWritten = false;
    if (runResult) {
        isWritten = co_await writeResult(task, *runResult);
    }
    --running_;
    if (isWritten) {
        reportResult(task, *runResult);
        startNext(task.partition, task.epoch, task.program);
    } else {
        co_await restartIfOwned(task.partition, task.epoch, task.program);
    }
}

asio::awaitable<void> CallRunner::restartIfOwned(PartitionId partition, Epoch epoch, ProgramId program)
{
    // Restarts a call whose run stopped for a handover that was then aborted.
    bool isOwned = true;
    bool isFree = false;
    while (isOwned && !isFree) {
        co_await sleepFor(handoverPollInterval);
        isOwned = parts_.table.withProgram(partition, epoch, program, [&](PartitionSlot &slot, OwnedProgram &owned) {
            isFree = !slot.isHandingOver;
            owned.running = isFree ? 0 : owned.running;
        });
    }
    if (isOwned) {
        startNext(partition, epoch, program);
    }
}

asio::awaitable<bool> CallRunner::waitForLease(const Task &task)
{
    // Prevents a paused owner from sending after another owner took over and reported a result for the intent. If the
    // lease is regained in the same epoch, there was no takeover.
    while (!parts_.control.hasLease()) {
        const bool isOwned = parts_.table.withProgram(task.partition, task.epoch, task.program,
                                                      [](PartitionSlot &, OwnedProgram &) {});
        if (!isOwned) {
            co_return false;
        }
        co_await sleepFor(leasePollInterval);
    }
    co_return parts_.table.withProgram(task.partition, task.epoch, task.program,
                                       [](PartitionSlot &, OwnedProgram &) {});
}

asio::awaitable<bool> CallRunner::writeIntent(Task &task, CallIntent intent)
{
    LogIndex index = 0;
    parts_.table.withProgram(task.partition, task.epoch, task.program, [&](PartitionSlot &slot, OwnedProgram &) {
        if (!slot.isHandingOver) {
            index = parts_.table.append(slot, {task.program, wallClockMs(), intent});
        }
    });
    if (index == 0) {
        co_return false;
    }
    const bool isCommitted = co_await parts_.table.waitCommitted(task.partition, task.epoch, index);
    if (!isCommitted) {
        co_return false;
    }
    const bool hasLease = co_await waitForLease(task);
    if (!hasLease) {
        co_return false;
    }
    task.attempts.push_back(std::move(intent));
    co_return true;
}

asio::awaitable<bool> CallRunner::writeResult(Task &task, CallResult result)
{
    LogIndex index = 0;
    std::vector<std::pair<std::shared_ptr<LiveCall>, CallResult>> finished;
    bool endsProgram = false;
    const bool isOwned = parts_.table.withProgram(
        task.partition, task.epoch, task.program, [&](PartitionSlot &slot, OwnedProgram &owned) {
            const std::int64_t now = wallClockMs();
            index = parts_.table.append(slot, {task.program, now, result});
            finished.emplace_back(task.live, result);
            // Later calls of the program depend on this one, so they are dropped too.
            while (result.outcome == Outcome::NotRun) {
                const auto next = owned.program.firstOpenCall();
                if (!next) {
                    break;
                }
                CallResult dropped = failure(task, ErrorKind::Cancelled, "an earlier call of the program was not run",
                                             Outcome::NotRun);
                dropped.sequence = *next;
                index = parts_.table.append(slot, {task.program, now, dropped});
                finished.emplace_back(owned.live[*next], dropped);
            }
            owned.running = 0;
            endsProgram = (owned.program.created().isSingleCall || owned.isEnding) && !owned.program.hasEnded()
                && !owned.program.firstOpenCall();
            if (endsProgram) {
                index = parts_.table.append(
                    slot, {task.program, now, ProgramEnded {owned.isEnding ? "ended by its caller" : "single call"}});
            }
        });
    if (!isOwned) {
        co_return false;
    }
    const bool isCommitted = co_await parts_.table.waitCommitted(task.partition, task.epoch, index);
    if (!isCommitted) {
        co_return false;
    }
    for (const auto &[live, ended] : finished) {
        if (live) {
            live->finish(ended);
        }
    }
    if (endsProgram) {
        startRelease(task.partition, task.epoch, task.program);
    }
    co_return true;
}

CallResult CallRunner::failure(const Task &task, ErrorKind kind, std::string message, Outcome outcome) const
{
    CallResult result;
    result.sequence = task.sequence;
    result.attempt = task.attempts.empty() ? 0 : task.attempts.back().attempt;
    result.rootAttempt = task.attempts.empty() ? 0 : task.attempts.back().rootAttempt;
    result.outcome = outcome;
    result.errorKind = answerFor(kind).name;
    result.errorMessage = std::move(message);
    return result;
}

bool CallRunner::tryRetry(const std::string &deployment)
{
    const std::lock_guard lock(retryMutex_);
    return retryBudgets_.try_emplace(deployment, retriesPerAttempt, retryBurst).first->second.tryRetry();
}

void CallRunner::recordFirstAttempt(const std::string &deployment)
{
    const std::lock_guard lock(retryMutex_);
    retryBudgets_.try_emplace(deployment, retriesPerAttempt, retryBurst).first->second.onFirstAttempt();
}

void CallRunner::reportResult(const Task &task, const CallResult &result)
{
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - task.startedAt).count();
    const MetricLabels labels {{"caller", task.created.caller}, {"class", task.created.workClass}};
    parts_.metrics.histogram("cardamompost_call_seconds", labels).observe(seconds);
    MetricLabels counted = labels;
    counted.emplace_back("outcome", nameOf(outcomeNames, result.outcome));
    parts_.metrics.counter("cardamompost_calls_total", counted).add();
    parts_.metrics.counter("cardamompost_prompt_tokens_total", labels)
        .add(static_cast<std::uint64_t>(result.promptTokens));
    parts_.metrics.counter("cardamompost_cached_tokens_total", labels)
        .add(static_cast<std::uint64_t>(result.cachedTokens));
    parts_.metrics.counter("cardamompost_completion_tokens_total", labels)
        .add(static_cast<std::uint64_t>(result.completionTokens));
    parts_.log.info("call.ended",
                    {{"program", task.program},
                     {"call", task.sequence},
                     {"attempt", result.attempt},
                     {"epoch", task.epoch},
                     {"outcome", nameOf(outcomeNames, result.outcome)},
                     {"error", result.errorKind},
                     {"seconds", seconds}});
}

void CallRunner::startRelease(PartitionId partition, Epoch epoch, const ProgramId &program)
{
    bool isNeeded = false;
    parts_.table.withProgram(partition, epoch, program, [&](PartitionSlot &, OwnedProgram &owned) {
        isNeeded = !owned.isReleasing && !owned.program.unreleasedBackends().empty();
        owned.isReleasing = owned.isReleasing || isNeeded;
    });
    if (isNeeded) {
        asio::co_spawn(asio::make_strand(executor_), release(partition, epoch, program), asio::detached);
    }
}

asio::awaitable<void> CallRunner::release(PartitionId partition, Epoch epoch, ProgramId program)
{
    Milliseconds backoff = minReleaseBackoff;
    while (true) {
        std::set<std::string> unreleased;
        const bool isOwned
            = parts_.table.withProgram(partition, epoch, program, [&](PartitionSlot &, OwnedProgram &owned) {
                  unreleased = owned.program.unreleasedBackends();
              });
        if (!isOwned || unreleased.empty()) {
            co_return;
        }
        for (const std::string &name : unreleased) {
            const std::optional<Replica> replica = parts_.dispatcher.findReplica(name);
            // A replica that is not in the configuration needs no release.
            bool isReleased = !replica;
            if (replica) {
                isReleased = co_await parts_.engines.release(*replica, program);
            }
            if (isReleased) {
                parts_.table.withProgram(partition, epoch, program, [&](PartitionSlot &slot, OwnedProgram &) {
                    parts_.table.append(slot, {program, wallClockMs(), BackendReleased {name}});
                });
            }
        }
        co_await sleepFor(backoff);
        backoff = std::min(backoff * 2, maxReleaseBackoff);
    }
}

} // namespace cardamompost
