#include "cp_control_replica.hpp"

#include <cardamompost/core/cp_invariant.hpp>

namespace cardamompost
{

namespace
{

// Size of the recent entries kept for VMs that pull, so that a lagging VM rarely needs a snapshot.
constexpr std::size_t maxRecentBytes = 2U << 20U;
constexpr std::size_t maxReplyBytes = 1U << 20U;

} // namespace

ControlReplica::ControlReplica(std::uint32_t partitionCount)
    : view_(std::make_shared<const ControlView>(ControlView {0, ControlState(partitionCount), {}}))
{
}

std::shared_ptr<const ControlView> ControlReplica::view() const
{
    const std::lock_guard lock(mutex_);
    return view_;
}

std::map<LogIndex, ApplyResult> ControlReplica::apply(const std::vector<LogEntry> &entries)
{
    std::map<LogIndex, ApplyResult> results;
    const std::shared_ptr<const ControlView> current = view();
    auto next = std::make_shared<ControlView>(*current);
    for (const LogEntry &entry : entries) {
        if (entry.index <= next->index) {
            continue;
        }
        checkInvariant(entry.index == next->index + 1, "control entries are applied without a gap");
        next->index = entry.index;
        if (entry.kind != EntryKind::Command) {
            continue;
        }
        const Result<ControlCommand> command = decodeCommand(entry.payload);
        // Entries that can't be decoded are skipped on every VM alike, so the states don't diverge.
        if (command) {
            results[entry.index] = next->state.apply(command.value());
        }
    }
    if (next->state.configurationVersion() != current->state.configurationVersion()) {
        next->configuration = Configuration::parse(next->state.document().text()).configuration;
    }
    {
        const std::lock_guard lock(mutex_);
        for (const LogEntry &entry : entries) {
            if (entry.index > current->index) {
                recentEntries_.push_back(entry);
                recentBytes_ += entry.payload.size();
            }
        }
        while (recentBytes_ > maxRecentBytes) {
            recentBytes_ -= recentEntries_.front().payload.size();
            recentEntries_.pop_front();
        }
    }
    publish(next);
    return results;
}

Result<void> ControlReplica::restore(LogIndex index, const std::string &bytes)
{
    BOOST_OUTCOME_TRY(ControlState state, ControlState::decode(bytes));
    const std::shared_ptr<const ControlView> current = view();
    // An older snapshot from a lagging keeper would revert the configuration.
    if (index <= current->index) {
        return boost::outcome_v2::success();
    }
    Configuration configuration = Configuration::parse(state.document().text()).configuration;
    {
        const std::lock_guard lock(mutex_);
        recentEntries_.clear();
        recentBytes_ = 0;
    }
    publish(std::make_shared<const ControlView>(ControlView {index, std::move(state), std::move(configuration)}));
    return boost::outcome_v2::success();
}

void ControlReplica::publish(const std::shared_ptr<const ControlView> &view)
{
    std::vector<ChangeHandler> handlers;
    {
        const std::lock_guard lock(mutex_);
        checkInvariant(view->state.configurationVersion() >= view_->state.configurationVersion(),
                       "an accepted configuration never reverts");
        view_ = view;
        handlers = handlers_;
    }
    for (const ChangeHandler &handler : handlers) {
        handler(view);
    }
}

PullReply ControlReplica::changesAfter(LogIndex index) const
{
    const std::lock_guard lock(mutex_);
    PullReply reply;
    if (index >= view_->index) {
        return reply;
    }
    if (recentEntries_.empty() || recentEntries_.front().index > index + 1) {
        reply.snapshotIndex = view_->index;
        reply.snapshot = view_->state.encode();
        return reply;
    }
    std::size_t bytes = 0;
    for (const LogEntry &entry : recentEntries_) {
        if (entry.index <= index) {
            continue;
        }
        bytes += entry.payload.size();
        if (bytes > maxReplyBytes && !reply.entries.empty()) {
            break;
        }
        reply.entries.push_back(entry);
    }
    return reply;
}

void ControlReplica::subscribe(ChangeHandler handler)
{
    const std::lock_guard lock(mutex_);
    handlers_.push_back(std::move(handler));
}

} // namespace cardamompost
