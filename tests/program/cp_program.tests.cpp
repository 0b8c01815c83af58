#include "support/cp_raft_cluster.hpp"

#include <cardamompost/program/cp_call_request.hpp>

#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

const ProgramId programId = "0123456789abcdef0123456789abcdef";

//! Applies journal records to a program in the form that its owner writes them.
struct ProgramFixture {
    ProgramFixture()
        : program(programId, {"officers", "agents", "plan", 1000, 0, "", 0, false, ""}, 100)
    {
    }

    template<typename Body>
    void apply(Body body)
    {
        program.apply({programId, 200, std::move(body)}, ++index);
    }

    void accept(std::uint32_t sequence, bool isIdempotent = true, std::int64_t reserved = 100, std::string key = {})
    {
        CallRequest request;
        request.messages = {boost::json::object {{"role", "user"}, {"content", "question"}}};
        apply(CallAccepted {sequence, std::move(key), 1, isIdempotent ? CallKind::Model : CallKind::Service,
                            isIdempotent, reserved,
                            isIdempotent ? encodeCallRequest(request)
                                         : "{\"service\":\"s\",\"method\":\"POST\",\"path\":\"/\",\"body\":\"\"}"});
    }

    void intent(std::uint32_t sequence, std::uint32_t attempt = 1)
    {
        apply(CallIntent {sequence, attempt, "replica-1", 0, attempt, 0, {}});
    }

    void result(std::uint32_t sequence, Outcome outcome, std::int64_t prompt = 0, std::int64_t completion = 0)
    {
        CallResult body;
        body.sequence = sequence;
        body.outcome = outcome;
        body.answer = "answer";
        body.promptTokens = prompt;
        body.completionTokens = completion;
        apply(std::move(body));
    }

    Program program;
    LogIndex index = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(program)

BOOST_AUTO_TEST_CASE(each_result_event_leads_to_its_final_state)
{
    CallMachine machine;
    BOOST_TEST(machine.process(CallEvent::IntentWritten));
    BOOST_TEST((machine.state() == CallState::Dispatched));
    CallMachine ran = machine;
    BOOST_TEST(ran.process(CallEvent::ResultRan));
    BOOST_TEST((ran.state() == CallState::Answered));
    CallMachine unknown = machine;
    BOOST_TEST(unknown.process(CallEvent::ResultUnknown));
    BOOST_TEST((unknown.state() == CallState::Unknown));
    CallMachine notRun;
    BOOST_TEST(notRun.process(CallEvent::ResultNotRun));
    BOOST_TEST((notRun.state() == CallState::NotRun));
    BOOST_TEST(!notRun.process(CallEvent::IntentWritten));
    BOOST_TEST(!ran.process(CallEvent::ResultUnknown));
}

// Guards against double execution when the owner fails after sending: the next owner must not write a second intent.
BOOST_AUTO_TEST_CASE(a_call_that_is_not_idempotent_is_not_sent_twice)
{
    CallMachine machine(false);
    BOOST_TEST(machine.process(CallEvent::IntentWritten));
    BOOST_TEST(!machine.process(CallEvent::IntentWritten));
    BOOST_TEST(machine.process(CallEvent::IntentAfterNotSent));
    CallMachine idempotent(true);
    BOOST_TEST(idempotent.process(CallEvent::IntentWritten));
    BOOST_TEST(idempotent.process(CallEvent::IntentWritten));
}

BOOST_AUTO_TEST_CASE(tokens_are_reserved_when_a_call_is_accepted_and_settled_by_its_result)
{
    ProgramFixture fixture;
    fixture.accept(1, true, 400);
    BOOST_TEST(fixture.program.budget().remaining() == 600);
    fixture.intent(1);
    fixture.result(1, Outcome::Ran, 50, 30);
    BOOST_TEST(fixture.program.budget().spent == 80);
    BOOST_TEST(fixture.program.budget().reserved == 0);
    BOOST_TEST(fixture.program.historyTokens() == 80);
}

BOOST_AUTO_TEST_CASE(a_call_with_unknown_outcome_spends_its_whole_reservation)
{
    ProgramFixture fixture;
    fixture.accept(1, true, 400);
    fixture.intent(1);
    fixture.result(1, Outcome::Unknown);
    BOOST_TEST(fixture.program.budget().spent == 400);
}

BOOST_AUTO_TEST_CASE(a_reservation_above_the_budget_breaks_an_invariant)
{
    const ThrowingInvariants guard;
    ProgramFixture fixture;
    BOOST_CHECK_THROW(fixture.accept(1, true, 1001), Violation);
}

BOOST_AUTO_TEST_CASE(calls_are_sent_in_the_order_of_their_sequence)
{
    const ThrowingInvariants guard;
    ProgramFixture fixture;
    fixture.accept(1);
    fixture.accept(2);
    BOOST_CHECK_THROW(fixture.intent(2), Violation);
    BOOST_CHECK_THROW(fixture.accept(5), Violation);
}

// The sequence number of a refused call is reused, while a late repeat of the refused request is still refused.
BOOST_AUTO_TEST_CASE(the_sequence_number_of_a_call_that_was_not_run_is_reused_and_its_refusal_kept)
{
    ProgramFixture fixture;
    fixture.accept(1, true, 100, "first");
    fixture.result(1, Outcome::NotRun);
    BOOST_TEST(fixture.program.nextSequence() == 1U);
    BOOST_TEST(fixture.program.refusalOf("first") != nullptr);
    fixture.accept(1, true, 100, "second");
    BOOST_TEST(fixture.program.nextSequence() == 2U);
    BOOST_TEST(fixture.program.refusalOf("second") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_sub_agent_spends_its_parents_budget)
{
    ProgramFixture fixture;
    fixture.program.reserveForChild(300);
    BOOST_TEST(fixture.program.budget().remaining() == 700);
    fixture.program.settleChild(300, 120);
    BOOST_TEST(fixture.program.budget().remaining() == 880);
}

BOOST_AUTO_TEST_CASE(history_holds_the_messages_and_answers_of_model_calls_that_ran)
{
    ProgramFixture fixture;
    fixture.accept(1);
    fixture.intent(1);
    fixture.result(1, Outcome::Ran);
    fixture.accept(2, false, 0);
    fixture.intent(2);
    fixture.result(2, Outcome::Unknown);
    fixture.accept(3);
    const boost::json::array messages = historyMessages(fixture.program, fixture.program.nextSequence());
    BOOST_TEST(boost::json::serialize(messages)
               == R"([{"role":"user","content":"question"},{"role":"assistant","content":"answer"}])");
    BOOST_TEST(historyCalls(fixture.program).size() == 3U);
}

BOOST_AUTO_TEST_CASE(an_intent_survives_encoding_and_an_ended_program_records_backend_releases)
{
    ProgramFixture fixture;
    fixture.accept(1, true, 200, "key");
    fixture.intent(1);
    fixture.result(1, Outcome::Ran, 10, 5);
    fixture.apply(CallRefused {"late", "over-limit", "too many"});
    fixture.apply(ProgramEnded {"done"});
    const JournalRecord record {programId, 7, CallIntent {1, 2, "replica-9", 55, 2, 17, "kept text"}};
    const JournalRecord copy = decodeRecord(encodeRecord(record)).value();
    const auto &intent = std::get<CallIntent>(copy.body);
    BOOST_TEST(intent.priorText == "kept text");
    BOOST_TEST(intent.priorTokens == 17U);
    BOOST_TEST(copy.program == programId);
    BOOST_TEST(fixture.program.hasEnded());
    BOOST_TEST(fixture.program.unreleasedBackends().contains("replica-1"));
    fixture.apply(BackendReleased {"replica-1"});
    BOOST_TEST(fixture.program.unreleasedBackends().empty());
}

BOOST_AUTO_TEST_CASE(messages_already_in_the_history_are_removed)
{
    const auto message = [](std::string_view role, std::string_view text) {
        return boost::json::object {{"role", role}, {"content", text}};
    };
    const boost::json::array history {message("user", "a"), message("assistant", "b")};
    const boost::json::array all {message("user", "a"), message("assistant", "b"), message("user", "c")};
    BOOST_TEST(withoutHistory(all, history).size() == 1U);
    const boost::json::array other {message("user", "x"), message("assistant", "b"), message("user", "c")};
    BOOST_TEST(withoutHistory(other, history).size() == 3U);
}

BOOST_AUTO_TEST_CASE(errors_in_a_call_name_the_invalid_field)
{
    const auto messageOf = [](std::string_view text) {
        const Result<CallRequest> parsed = parseCallRequest(text);
        return parsed ? std::string("accepted") : parsed.error().message;
    };
    BOOST_TEST(messageOf("[1]") == "the body must be a JSON object");
    BOOST_TEST(messageOf("{\"kind\":\"model\"}") == "'sequence' is required");
    BOOST_TEST(messageOf("{\"sequence\":1,\"kind\":\"dance\"}") == "'kind' must be 'model' or 'service'");
    BOOST_TEST(messageOf("{\"sequence\":1,\"kind\":\"model\",\"messages\":[]}")
               == "'messages' must hold 1 to 10000 messages");
    BOOST_TEST(messageOf("{\"sequence\":1,\"kind\":\"model\",\"messages\":[{\"content\":1}]}")
               == "'messages[0].role' must be a string");
    BOOST_TEST(
        messageOf(
            "{\"sequence\":1,\"kind\":\"model\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"colour\":1}")
        == "'colour' is not known");
    BOOST_TEST(
        messageOf("{\"sequence\":1,\"kind\":\"service\",\"service\":\"s\",\"method\":\"POST\",\"path\":\"no slash\"}")
        == "'path' must begin with '/' and contain no whitespace or control characters");
    BOOST_TEST(parseJsonObject(std::string(40, '[')).has_error());
}

BOOST_AUTO_TEST_SUITE_END()
