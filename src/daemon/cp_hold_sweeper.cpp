#include "cp_hold_sweeper.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds sweepInterval {5000};
// Limit per replica.
constexpr std::size_t maxChecksPerSweep = 64;

} // namespace

HoldSweeper::HoldSweeper(asio::any_io_executor executor, Parts parts)
    : executor_(std::move(executor))
    , parts_(parts)
    , releasedHolds_(parts.metrics.counter("cardamompost_swept_holds_total"))
{
}

void HoldSweeper::start()
{
    asio::co_spawn(asio::make_strand(executor_), run(), asio::detached);
}

void HoldSweeper::stop()
{
    isStopped_ = true;
}

bool HoldSweeper::isResponsibleFor(const ControlView &view, const Replica &replica) const
{
    VmName selected;
    std::uint64_t highest = 0;
    for (const auto &[name, vm] : view.state.vms()) {
        const std::uint64_t weight = stableHash(name, stableHash(replica.name));
        if (vm.state == VmState::Live && weight >= highest) {
            highest = weight;
            selected = name;
        }
    }
    return selected == parts_.settings.vm;
}

asio::awaitable<void> HoldSweeper::run()
{
    while (!isStopped_) {
        co_await sleepFor(sweepInterval);
        const auto view = parts_.replica.view();
        for (const auto &[name, deployment] : view->configuration.deployments()) {
            for (const Replica &replica : deployment.replicas) {
                if (isResponsibleFor(*view, replica)) {
                    co_await sweep(replica);
                }
            }
        }
    }
}

asio::awaitable<void> HoldSweeper::sweep(Replica replica)
{
    const Result<std::vector<ProgramId>> held = co_await parts_.engines.heldPrograms(replica);
    if (!held) {
        co_return;
    }
    const std::set<ProgramId> previous
        = std::exchange(previouslyHeld_[replica.name], {held.value().begin(), held.value().end()});
    std::size_t checks = 0;
    for (const ProgramId &program : held.value()) {
        if (!previous.contains(program) || ++checks > maxChecksPerSweep) {
            continue;
        }
        const bool isGone = co_await checkGone(program);
        if (!isGone) {
            continue;
        }
        const bool isReleased = co_await parts_.engines.release(replica, program);
        if (isReleased) {
            releasedHolds_.add();
            parts_.log.info("hold.swept", {{"program", program}, {"backend", replica.name}});
        }
    }
}

asio::awaitable<bool> HoldSweeper::checkGone(ProgramId program)
{
    ApiRequest request;
    request.operation = ApiOperation::CheckHold;
    request.program = std::move(program);
    bool isGone = false;
    // Only the owner can confirm that a program has ended or does not exist. Without its reply, the engine keeps the
    // program's cache entries.
    Router::Deliver deliver = [&isGone](ApiChunk chunk) -> asio::awaitable<bool> {
        isGone = isGone || chunk.body == R"({"gone":true})";
        co_return true;
    };
    co_await parts_.router.forward(std::move(request), std::move(deliver));
    co_return isGone;
}

} // namespace cardamompost
