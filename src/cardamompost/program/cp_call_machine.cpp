#include <cardamompost/program/cp_call_machine.hpp>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace cardamompost
{

namespace
{

namespace msm = boost::msm;

struct IntentWritten {
};
struct IntentAfterNotSent {
};
struct ResultRan {
};
struct ResultNotRun {
};
struct ResultUnknown {
};

struct CallMachineDefinition : msm::front::state_machine_def<CallMachineDefinition> {
    struct Queued : msm::front::state<> {
    };
    struct Dispatched : msm::front::state<> {
    };
    struct Answered : msm::front::state<> {
    };
    struct NotRun : msm::front::state<> {
    };
    struct Unknown : msm::front::state<> {
    };
    using initial_state = Queued;

    struct IsIdempotent {
        template<typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event & /*event*/, const Machine &machine, const Source & /*source*/,
                        const Target & /*target*/) const
        {
            return machine.isIdempotent;
        }
    };

    template<typename Source, typename Event, typename Target, typename Guard = msm::front::none>
    using Row = msm::front::Row<Source, Event, Target, msm::front::none, Guard>;

    // Boost.MSM prescribes the name.
    struct transition_table // NOLINT(readability-identifier-naming)
        : boost::mpl::vector<Row<Queued, IntentWritten, Dispatched>, Row<Queued, ResultNotRun, NotRun>,
                             Row<Dispatched, IntentWritten, Dispatched, IsIdempotent>,
                             Row<Dispatched, IntentAfterNotSent, Dispatched>, Row<Dispatched, ResultRan, Answered>,
                             Row<Dispatched, ResultNotRun, NotRun>, Row<Dispatched, ResultUnknown, Unknown>> {
    };

    template<typename Machine, typename Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/)
    {
    }

    bool isIdempotent = true;
};

using CallBackEnd = msm::back::state_machine<CallMachineDefinition>;

// The back end numbers the states in the order of their first use in the transition table.
constexpr std::array stateOrder {CallState::Queued, CallState::Dispatched, CallState::NotRun, CallState::Answered,
                                 CallState::Unknown};

//! A back end that can start from any state that is not final, so that CallMachine need not store a back end.
class RestartableBackEnd : public CallBackEnd
{
public:
    RestartableBackEnd(CallState from, bool isIdempotentCall)
    {
        isIdempotent = isIdempotentCall;
        start();
        if (from == CallState::Dispatched) {
            process_event(IntentWritten {});
        }
    }

    [[nodiscard]] CallState current() const
    {
        return stateOrder[static_cast<std::size_t>(current_state()[0])];
    }

    bool processOne(CallEvent event)
    {
        switch (event) {
        case CallEvent::IntentWritten:
            return process_event(IntentWritten {}) == msm::back::HANDLED_TRUE;
        case CallEvent::IntentAfterNotSent:
            return process_event(IntentAfterNotSent {}) == msm::back::HANDLED_TRUE;
        case CallEvent::ResultRan:
            return process_event(ResultRan {}) == msm::back::HANDLED_TRUE;
        case CallEvent::ResultNotRun:
            return process_event(ResultNotRun {}) == msm::back::HANDLED_TRUE;
        case CallEvent::ResultUnknown:
            return process_event(ResultUnknown {}) == msm::back::HANDLED_TRUE;
        }
        return false;
    }
};

} // namespace

bool CallMachine::process(CallEvent event)
{
    if (isFinal()) {
        return false;
    }
    RestartableBackEnd machine(state_, isIdempotent_);
    if (!machine.processOne(event)) {
        return false;
    }
    state_ = machine.current();
    return true;
}

} // namespace cardamompost
