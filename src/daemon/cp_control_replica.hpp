#ifndef CARDAMOMPOST_CP_CONTROL_REPLICA_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTROL_REPLICA_HPP_INCLUDED

#include <cardamompost/config/cp_configuration.hpp>
#include <cardamompost/control/cp_control_message.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace cardamompost
{

//! Immutable control state at one log index, so that a request sees the same state throughout.
struct ControlView {
    LogIndex index = 0;
    ControlState state;
    //! Parsed from the state's document; empty until the first document is applied.
    Configuration configuration;
};

//! This VM's replica of the control state. Thread-safe.
//!
//! Views are shared: a request keeps the view that it started with while newer views replace it.
class ControlReplica
{
public:
    using ChangeHandler = std::function<void(const std::shared_ptr<const ControlView> &view)>;

    explicit ControlReplica(std::uint32_t partitionCount);

    [[nodiscard]] std::shared_ptr<const ControlView> view() const;
    //! Applies committed entries in order and skips those already applied.
    //! \returns the result of each command, by index
    std::map<LogIndex, ApplyResult> apply(const std::vector<LogEntry> &entries);
    //! Replaces the state by a snapshot; one that is not newer than the view is ignored. Errors: StorageCorrupt.
    Result<void> restore(LogIndex index, const std::string &bytes);
    //! Returns entries that follow an index, up to a size limit, or a snapshot if the next entry is no longer kept.
    [[nodiscard]] PullReply changesAfter(LogIndex index) const;
    //! Handlers run on the thread that applies or restores, without a lock held.
    void subscribe(ChangeHandler handler);

private:
    void publish(const std::shared_ptr<const ControlView> &view);

    mutable std::mutex mutex_;
    std::shared_ptr<const ControlView> view_;
    std::deque<LogEntry> recentEntries_;
    std::size_t recentBytes_ = 0;
    std::vector<ChangeHandler> handlers_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTROL_REPLICA_HPP_INCLUDED
