#include "daemon/cp_control_replica.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

LogEntry changeEntry(LogIndex index, std::uint64_t baseVersion)
{
    ConfigurationChange change;
    change.requestId = "request-" + std::to_string(baseVersion);
    change.baseVersion = baseVersion;
    change.delta.upserts
        = {{"class c" + std::to_string(baseVersion), "", "[class c" + std::to_string(baseVersion) + "]\nrank = 1\n"}};
    return {index, 1, EntryKind::Command, encodeCommand(change)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_replica)

BOOST_AUTO_TEST_CASE(entries_are_applied_once_and_the_configuration_is_parsed)
{
    ControlReplica replica(4);
    replica.apply({{1, 1, EntryKind::Barrier, {}}, changeEntry(2, 0)});
    const std::map<LogIndex, ApplyResult> results = replica.apply({changeEntry(2, 0), changeEntry(3, 1)});
    BOOST_TEST(results.size() == 1U);
    BOOST_TEST(replica.view()->index == 3U);
    BOOST_TEST(replica.view()->state.configurationVersion() == 2U);
    BOOST_TEST(replica.view()->configuration.findClass("c1") != nullptr);
}

// Guards against a lagging keeper's snapshot reverting a configuration that is already in force.
BOOST_AUTO_TEST_CASE(an_older_snapshot_is_ignored)
{
    ControlReplica lagging(4);
    lagging.apply({changeEntry(1, 0)});
    ControlReplica replica(4);
    replica.apply({changeEntry(1, 0), changeEntry(2, 1)});
    BOOST_TEST(replica.restore(1, lagging.view()->state.encode()).has_value());
    BOOST_TEST(replica.view()->state.configurationVersion() == 2U);
}

BOOST_AUTO_TEST_CASE(a_lagging_vm_catches_up_from_entries_or_a_snapshot)
{
    ControlReplica ahead(4);
    for (LogIndex index = 1; index <= 500; ++index) {
        ahead.apply({changeEntry(index, index - 1)});
    }
    ControlReplica behind(4);
    behind.apply({changeEntry(1, 0)});
    const PullReply entries = ahead.changesAfter(1);
    BOOST_TEST(entries.entries.size() == 499U);
    behind.apply(entries.entries);
    BOOST_TEST(behind.view()->state.encode() == ahead.view()->state.encode());
    ControlReplica restored(4);
    BOOST_TEST(restored.restore(ahead.view()->index, ahead.view()->state.encode()).has_value());
    const PullReply snapshot = restored.changesAfter(7);
    BOOST_TEST(snapshot.snapshotIndex == 500U);
    BOOST_TEST(restored.changesAfter(500).entries.empty());
}

BOOST_AUTO_TEST_CASE(subscribers_see_each_new_view)
{
    ControlReplica replica(4);
    std::vector<LogIndex> seen;
    replica.subscribe([&](const std::shared_ptr<const ControlView> &view) { seen.push_back(view->index); });
    replica.apply({changeEntry(1, 0)});
    replica.apply({changeEntry(2, 1)});
    BOOST_TEST(seen == (std::vector<LogIndex> {1, 2}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
