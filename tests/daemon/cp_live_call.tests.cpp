#include "daemon/cp_live_call.hpp"

#include "daemon/cp_answer_writer.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

//! Records the events that a watcher receives.
struct RecordedEvents {
    std::string text;
    std::uint64_t lastId = 0;
    int restarts = 0;
    bool isFinal = false;
    bool hasMoved = false;

    LiveCall::Watcher watcher()
    {
        return [this](const LiveEvent &event) {
            switch (event.kind) {
            case LiveEvent::Kind::Tokens:
                text += event.text;
                lastId = event.id;
                break;
            case LiveEvent::Kind::Restart:
                text.clear();
                ++restarts;
                break;
            case LiveEvent::Kind::Final:
                isFinal = true;
                break;
            case LiveEvent::Kind::Moved:
                hasMoved = true;
                break;
            }
        };
    }
};

CallResult resultOf(const std::string &answer)
{
    CallResult result;
    result.answer = answer;
    result.rootAttempt = 1;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(live_call)

BOOST_AUTO_TEST_CASE(a_late_watcher_receives_all_tokens_after_its_last_event)
{
    LiveCall call;
    call.begin(1);
    call.addTokens(1, "a");
    call.addTokens(2, "b");
    RecordedEvents seen;
    call.watch(0, seen.watcher());
    call.addTokens(3, "c");
    call.finish(resultOf("abc"));
    BOOST_TEST(seen.text == "abc");
    BOOST_TEST(seen.isFinal);
    RecordedEvents later;
    call.watch(eventId(1, 2), later.watcher());
    BOOST_TEST(later.text == "c");
    BOOST_TEST(later.isFinal);
}

// The engine repeats tokens when its stream is resumed; none may be lost or delivered twice.
BOOST_AUTO_TEST_CASE(repeated_tokens_are_delivered_once)
{
    LiveCall call;
    call.begin(1);
    RecordedEvents seen;
    call.watch(0, seen.watcher());
    call.addTokens(1, "a");
    call.addTokens(2, "b");
    call.addTokens(2, "b");
    call.addTokens(1, "a");
    call.addTokens(3, "c");
    BOOST_TEST(seen.text == "abc");
    BOOST_TEST(call.text() == "abc");
}

// Guards against joining the first part of one generated answer with the rest of another.
BOOST_AUTO_TEST_CASE(a_new_root_attempt_restarts_watchers_of_the_previous_answer)
{
    LiveCall call;
    RecordedEvents resumed;
    call.watch(eventId(1, 2), resumed.watcher());
    call.begin(2);
    call.addTokens(1, "x");
    call.addTokens(2, "y");
    call.addTokens(3, "z");
    BOOST_TEST(resumed.restarts == 1);
    BOOST_TEST(resumed.text == "xyz");
    RecordedEvents later;
    call.watch(eventId(1, 1), later.watcher());
    BOOST_TEST(later.restarts == 1);
    BOOST_TEST(later.text == "xyz");
}

BOOST_AUTO_TEST_CASE(resuming_the_same_attempt_does_not_restart_the_answer)
{
    LiveCall call;
    RecordedEvents resumed;
    call.watch(eventId(1, 2), resumed.watcher());
    call.begin(1);
    call.addTokens(1, "a");
    call.addTokens(2, "b");
    call.addTokens(3, "c");
    BOOST_TEST(resumed.restarts == 0);
    BOOST_TEST(resumed.text == "c");
}

BOOST_AUTO_TEST_CASE(watchers_are_notified_when_the_partition_moves)
{
    LiveCall call;
    RecordedEvents seen;
    call.watch(0, seen.watcher());
    call.notifyMoved();
    call.finish(resultOf("late"));
    BOOST_TEST(seen.hasMoved);
    BOOST_TEST(!seen.isFinal);
}

BOOST_AUTO_TEST_CASE(answer_chunks_follow_the_requested_format)
{
    AnswerContext context;
    context.program = "0123456789abcdef0123456789abcdef";
    context.sequence = 3;
    context.model = "m";
    context.isStream = true;
    const LiveEvent tokens {LiveEvent::Kind::Tokens, eventId(1, 1), "hold \"two\"\n", {}};
    const ApiChunk native = chunkFor(context, tokens).value();
    BOOST_TEST(native.body.find(R"("text":"hold \"two\"\n")") != std::string::npos);
    context.format = ApiFormat::ChatCompletion;
    const ApiChunk chat = chunkFor(context, tokens).value();
    BOOST_TEST(chat.body.find(R"("content":"hold \"two\"\n")") != std::string::npos);
    const LiveEvent last {LiveEvent::Kind::Final, eventId(1, 1), {}, resultOf("x")};
    BOOST_TEST(chunkFor(context, last).value().body.ends_with("data: [DONE]\n\n"));
    context.isStream = false;
    BOOST_TEST(!chunkFor(context, tokens).has_value());
    BOOST_TEST(chunkFor(context, last).value().isLast);
    BOOST_TEST(chunkFor(context, last).value().body.find(R"("finish_reason":"stop")") != std::string::npos);
    LiveEvent cutOff = last;
    cutOff.result.isCutOff = true;
    BOOST_TEST(chunkFor(context, cutOff).value().body.find(R"("finish_reason":"length")") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
