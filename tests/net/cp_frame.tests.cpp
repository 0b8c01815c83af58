#include <cardamompost/net/cp_frame.hpp>
#include <cardamompost/net/cp_http_message.hpp>
#include <cardamompost/net/cp_sse_parser.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

template<typename Body>
Body roundTrip(const Body &body)
{
    const Result<Frame> decoded = decodeFrame(encodeFrame({7, FrameKind::Request, 250, body}));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().id == 7U);
    BOOST_TEST(decoded.value().deadlineMs == 250U);
    const Body *out = std::get_if<Body>(&decoded.value().body);
    BOOST_REQUIRE(out != nullptr);
    return *out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(frame)

BOOST_AUTO_TEST_CASE(messages_about_suspects_round_trip_through_the_frame_codec)
{
    const BackendEnd end {1ULL << 63U, "i-1", 77, "v2"};
    const SuspectRequest suspect = roundTrip(SuspectRequest {SuspectAction::End, 5, "r", end, 4000});
    BOOST_TEST((suspect.action == SuspectAction::End && suspect.end == end));
    BOOST_TEST(suspect.run == 5U);
    BOOST_TEST(suspect.requestId == "r");
    BOOST_TEST(suspect.timeLeftMs == 4000U);
    const SuspectReply reply = roundTrip(SuspectReply {SuspectStatus::Recorded, 3});
    BOOST_TEST((reply.status == SuspectStatus::Recorded && reply.ends == 3U));
    UpdateReply update;
    update.suspects = SuspectChanges {3, 9, {1, 2}, {4}};
    const UpdateReply received = roundTrip(update);
    BOOST_REQUIRE(received.suspects.has_value());
    BOOST_TEST((received.suspects->since == 3U && received.suspects->version == 9U));
    BOOST_TEST((received.suspects->added == std::vector<RequestFingerprint> {1, 2}));
    BOOST_TEST((received.suspects->removed == std::vector<RequestFingerprint> {4}));
}

BOOST_AUTO_TEST_CASE(peer_messages_round_trip_through_the_frame_codec)
{
    RaftMessage raft;
    raft.type = RaftMessageType::SnapshotChunk;
    raft.from = "vm-1";
    raft.isUninitialized = true;
    raft.entries = {{4, 2, EntryKind::Barrier, std::string("\0binary", 7)}};
    raft.snapshot.membership.voters = {"vm-1", "vm-2"};
    const RaftMessage raftCopy = roundTrip(raft);
    BOOST_TEST((raftCopy.entries == raft.entries));
    BOOST_TEST((raftCopy.snapshot.membership == raft.snapshot.membership));
    BOOST_TEST(raftCopy.isUninitialized);
    const JournalAppend append {3, 9, "vm-2", 5, 8, {{6, 9, EntryKind::Command, "x"}}, 5};
    BOOST_TEST(roundTrip(append).commit == 5U);
    const GroupView group {"10.0.0.1:7380", 7, 42, {"10.0.0.1:7380", "10.0.0.2:7380"}};
    const JoinReply joined = roundTrip(JoinReply {true, group});
    BOOST_TEST(joined.isConfirmed);
    BOOST_TEST((joined.group == group));
    BOOST_TEST((roundTrip(LeaderNotice {group}).group == group));
    const Presence presence {"vm-1", "10.0.0.1:80", "apapa", true, false, 730, true};
    BOOST_TEST(roundTrip(presence).loadPermille == 730U);
    BOOST_TEST(roundTrip(presence).isAccepting);
    TurnFinish finish;
    finish.backend = "i-7";
    BOOST_TEST(roundTrip(finish).backend == "i-7");
    finish.timing = {900, 30, 260, 100, 4, "engines", 1700};
    BOOST_TEST((roundTrip(finish).timing == finish.timing));
    const ServerVersion version {"engines", "v1"};
    const StreamVersionRequest record = roundTrip(StreamVersionRequest {{"s", version, 2, 4000}, true});
    BOOST_TEST((record.record.version == version));
    BOOST_TEST(record.record.attempt == 2U);
    BOOST_TEST(record.isQuery);
    BOOST_TEST((roundTrip(StreamVersionReply {StreamVersionStatus::Recorded, version}).version == version));
    BOOST_TEST(roundTrip(AdmitRequest {"a", "r", "x"}).admission == "x");
    TurnBegin begin;
    begin.admission = "x";
    BOOST_TEST(roundTrip(begin).admission == "x");
    begin.placement.service = "engines";
    begin.placement.softwareVersion = "v1";
    begin.streamRetentionMs = 4000;
    begin.isRetained = true;
    BOOST_TEST(roundTrip(begin).isRetained);
    BOOST_TEST(roundTrip(begin).placement.softwareVersion == "v1");
    BOOST_TEST(roundTrip(begin).streamRetentionMs == 4000U);
    TurnBeginReply granted;
    granted.version = version;
    BOOST_TEST((roundTrip(granted).version == version));
    BOOST_TEST(roundTrip(JoinRequest {"vm-1", "10.0.0.1:7380", 9, "apapa", true}).failureDomain == "apapa");
    BOOST_TEST(roundTrip(JoinRequest {"vm-1", "10.0.0.1:7380", 9, "apapa", true}).hasTerm);
    UpdateRequest update;
    update.knownTerm = 3;
    update.peersDigest = 11;
    BOOST_TEST(roundTrip(update).knownTerm == 3U);
    BOOST_TEST(roundTrip(update).peersDigest == 11U);
    UpdateReply updated;
    updated.ageMs = 120;
    updated.mustResyncList = true;
    updated.peers = {{"10.0.0.1:7380", "apapa"}};
    BackendServer server;
    server.id = "i-1";
    server.isLeaving = true;
    updated.listChanges = BackendChanges {{server}, {"i-2"}, 99};
    const UpdateReply decoded = roundTrip(updated);
    BOOST_TEST(decoded.ageMs == 120U);
    BOOST_TEST(decoded.mustResyncList);
    BOOST_TEST((decoded.peers == updated.peers));
    BOOST_REQUIRE(decoded.listChanges.has_value());
    BOOST_TEST((decoded.listChanges->changed == updated.listChanges->changed));
    BOOST_TEST((decoded.listChanges->removed == updated.listChanges->removed));
    BOOST_TEST(decoded.listChanges->checksum == 99U);
    const ApiChunk chunk {200, Outcome::NotRun, 77, "body", true};
    BOOST_TEST((roundTrip(chunk).outcome == Outcome::NotRun));
    Error error = makeError(ErrorKind::Overloaded, "busy");
    error.retryAfter = std::chrono::milliseconds(120);
    const FailureReply failure = roundTrip(FailureReply {error});
    BOOST_TEST((failure.error.kind == ErrorKind::Overloaded));
    BOOST_TEST((failure.error.retryAfter == std::chrono::milliseconds(120)));
}

BOOST_AUTO_TEST_CASE(large_messages_round_trip)
{
    ApiChunk chunk;
    chunk.body = std::string(1U << 20U, 'x');
    BOOST_TEST(roundTrip(chunk).body.size() == chunk.body.size());
}

BOOST_AUTO_TEST_CASE(a_heartbeat_frame_is_small)
{
    RaftMessage heartbeat;
    heartbeat.from = "vm-1";
    heartbeat.to = "vm-2";
    heartbeat.term = 3;
    heartbeat.index = 1000;
    BOOST_TEST(encodeFrame({0, FrameKind::OneWay, 0, heartbeat}).size() < 80U);
}

BOOST_AUTO_TEST_CASE(malformed_frames_are_rejected)
{
    BOOST_TEST(decodeFrame("").has_error());
    BOOST_TEST(decodeFrame("x").has_error());
    BOOST_TEST(decodeFrame(std::string(200, '\xff')).has_error());
    std::string cut = encodeFrame({1, FrameKind::Request, 0, ApiChunk {200, {}, 0, std::string(5000, 'y'), true}});
    cut.resize(cut.size() / 2);
    BOOST_TEST(decodeFrame(cut).has_error());
}

BOOST_AUTO_TEST_CASE(event_streams_are_parsed_from_chunks_of_any_size)
{
    const std::string text = ": comment\n\nid: 5\nevent: tokens\ndata: {\"text\":\"a\"}\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        SseParser parser;
        std::vector<SseEvent> events;
        for (std::size_t at = 0; at < text.size(); at += size) {
            parser.feed(text.substr(at, size), [&](const SseEvent &event) {
                events.push_back(event);
                return true;
            });
        }
        BOOST_REQUIRE(events.size() == 2U);
        BOOST_TEST(events[0].id == 5U);
        BOOST_TEST(events[0].name == "tokens");
        BOOST_TEST(events[0].data == "{\"text\":\"a\"}");
        BOOST_TEST(events[1].data == "[DONE]");
    }
}

BOOST_AUTO_TEST_CASE(request_targets_are_percent_decoded)
{
    HttpRequest request;
    splitTarget("/v1/a%20b?program=x%2Fy&z", request);
    BOOST_TEST(request.path == "/v1/a b");
    BOOST_TEST(request.query.at("program") == "x/y");
    BOOST_TEST(request.query.at("z").empty());
    BOOST_TEST(splitPath("/v1//operator/vms/").size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
