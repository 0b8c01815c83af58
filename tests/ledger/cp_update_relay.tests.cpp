#include <cardamompost/ledger/cp_relay_selector.hpp>
#include <cardamompost/ledger/cp_update_relay.hpp>
#include <cardamompost/net/cp_frame.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <queue>
#include <set>

using namespace cardamompost;

namespace
{

const std::vector<std::string> domains {"apapa", "tincan", "onne", "lekki", "ikorodu"};
constexpr Milliseconds oneWay {1};
constexpr Milliseconds pollWait {300};
constexpr Milliseconds pollTimeout {600};
constexpr Milliseconds feedTimeout {500};
constexpr Milliseconds noticeInterval {250};
constexpr Milliseconds maxRelayAge {800};
constexpr Milliseconds tick {10};
constexpr double bytesPerSecond = 24.0 * (1U << 20U);
constexpr double burstBytes = 4.0 * (1U << 20U);

//! Entries that follow a leader through relays, in virtual time and without sockets.
class FleetSimulation
{
public:
    using Replier = std::function<void(UpdateReply)>;
    using Relay = UpdateRelay<Replier>;

    FleetSimulation(std::size_t ledgerVms, std::size_t entries)
    {
        std::vector<LedgerPeer> peers;
        for (std::size_t i = 0; i < ledgerVms; ++i) {
            peers.push_back({nameOf(i), domains[i % domains.size()]});
        }
        for (std::size_t i = 0; i < ledgerVms; ++i) {
            vms_.push_back(std::make_unique<LedgerVm>(nameOf(i)));
            indexOf_[nameOf(i)] = i;
        }
        for (std::size_t i = 0; i < entries; ++i) {
            const std::string &domain = domains[i % domains.size()];
            entries_.push_back(std::make_unique<Entry>("entry-" + std::to_string(i), domain));
            entries_.back()->selector.setPeers(peers);
        }
        peers_ = LedgerPeers(peers);
        lead(0, 1);
        for (std::size_t i = 0; i < ledgerVms; ++i) {
            feed(i);
            serve(i);
        }
        for (std::size_t i = 0; i < entries; ++i) {
            poll(i);
        }
    }

    void run(Milliseconds time)
    {
        const TimePoint end = now_ + time;
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
        now_ = end;
    }
    //! Runs until all entries hold the leader's list. \returns the time it took
    Milliseconds runUntilUpToDate(Milliseconds maxTime)
    {
        const TimePoint start = now_;
        while (!isUpToDate() && now_ - start < maxTime) {
            run(tick);
        }
        return std::chrono::duration_cast<Milliseconds>(now_ - start);
    }
    void publish(const std::vector<BackendServer> &servers)
    {
        vms_[leader_]->relay.publishList(servers, now_);
    }
    void publish(const SuspectList &suspects)
    {
        vms_[leader_]->relay.publishSuspects(suspects, now_);
    }
    //! Lets a VM lead; it notifies all others, as a new leader does.
    void lead(std::size_t vm, Term term)
    {
        leader_ = vm;
        vms_[vm]->relay.lead(term, now_);
        vms_[vm]->relay.setPeers(peers_);
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            after(oneWay, [this, i, vm, term] {
                if (vms_[i]->isAlive && i != vm) {
                    vms_[i]->relay.noteLeader(nameOf(vm), term, now_);
                }
            });
        }
    }
    //! Sends notices of the leader to all VMs at intervals, as a leader does to those that it does not hear from.
    void noticePeriodically(Term term)
    {
        for (const auto &vm : vms_) {
            vm->relay.noteLeader(nameOf(leader_), term, now_);
        }
        after(noticeInterval, [this, term] { noticePeriodically(term); });
    }
    void kill(std::size_t vm)
    {
        vms_[vm]->isAlive = false;
    }
    //! Cuts a VM off from the leader; entries still reach it.
    void cutFromLeader(std::size_t vm)
    {
        vms_[vm]->isCut = true;
    }
    //! The VMs that serve entries of a failure domain, busiest first.
    [[nodiscard]] std::vector<std::size_t> relaysOf(const std::string &domain) const
    {
        std::vector<std::size_t> relays;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (domains[i % domains.size()] == domain && vms_[i]->requests != 0 && i != leader_) {
                relays.push_back(i);
            }
        }
        std::sort(relays.begin(), relays.end(),
                  [&](std::size_t left, std::size_t right) { return vms_[left]->requests > vms_[right]->requests; });
        return relays;
    }
    [[nodiscard]] bool isUpToDate() const
    {
        const BackendCatalog &catalog = vms_[leader_]->relay.content().catalog();
        return std::all_of(entries_.begin(), entries_.end(), [&](const auto &entry) {
            return entry->content.catalog().checksum() == catalog.checksum();
        });
    }
    [[nodiscard]] std::size_t entriesThatSuspect(RequestFingerprint request) const
    {
        return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const auto &entry) {
            return entry->content.suspects().contains(request);
        }));
    }
    [[nodiscard]] std::size_t entriesThatKnow(std::size_t leader) const
    {
        return static_cast<std::size_t>(std::count_if(
            entries_.begin(), entries_.end(), [&](const auto &entry) { return entry->leader == nameOf(leader); }));
    }
    //! Oldest word of the leader that any entry goes by.
    [[nodiscard]] Milliseconds oldestUpdate() const
    {
        TimePoint oldest = now_;
        for (const auto &entry : entries_) {
            oldest = std::min(oldest, entry->heardAt);
        }
        return std::chrono::duration_cast<Milliseconds>(now_ - oldest);
    }
    void resetCounts()
    {
        for (const auto &vm : vms_) {
            vm->requests = 0;
            vm->bytes = 0;
        }
    }
    [[nodiscard]] std::size_t leaderRequests() const
    {
        return vms_[leader_]->requests;
    }
    [[nodiscard]] std::size_t leaderBytes() const
    {
        return vms_[leader_]->bytes;
    }
    [[nodiscard]] std::size_t maxRequests() const
    {
        std::size_t most = 0;
        for (const auto &vm : vms_) {
            most = std::max(most, vm->requests);
        }
        return most;
    }

private:
    struct LedgerVm {
        explicit LedgerVm(const VmName &name)
            : relay(name, {bytesPerSecond, burstBytes}, [this](const Replier &replier, UpdateReply reply) {
                bytes += encodeFrame({1, FrameKind::LastReply, 0, reply}).size();
                replier(std::move(reply));
            })
        {
        }
        Relay relay;
        bool isAlive = true;
        bool isCut = false;
        std::size_t requests = 0;
        std::size_t bytes = 0;
        std::size_t feedNumber = 0;
    };
    struct Entry {
        Entry(const std::string &name, const std::string &domain)
            : selector(name, domain)
        {
        }
        RelaySelector selector;
        ContentReplica content;
        VmName leader;
        Term term = 0;
        TimePoint heardAt {};
        std::size_t pollNumber = 0;
    };
    struct Event {
        TimePoint at;
        std::size_t sequence = 0;
        std::function<void()> action;
        friend bool operator<(const Event &left, const Event &right)
        {
            return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
        }
    };

    static VmName nameOf(std::size_t vm)
    {
        return "10.0.0." + std::to_string(vm) + ":7380";
    }
    void after(Milliseconds delay, std::function<void()> action)
    {
        events_.push({now_ + delay, nextSequence_++, std::move(action)});
    }
    //! Delivers a request to a VM and its reply to the handler; both take time, and either may be lost.
    void request(std::size_t vm, UpdateRequest body, const Replier &handler)
    {
        after(oneWay, [this, vm, moved = std::move(body), handler] {
            if (!vms_[vm]->isAlive) {
                return;
            }
            ++vms_[vm]->requests;
            vms_[vm]->relay.onRequest(
                moved, [this, handler](UpdateReply reply) { after(oneWay, [handler, reply] { handler(reply); }); },
                now_);
        });
    }
    //! A relay's polls of the leader.
    void feed(std::size_t vm)
    {
        LedgerVm &self = *vms_[vm];
        const auto found = indexOf_.find(self.relay.leader());
        if (!self.relay.needsFeed(now_) || found == indexOf_.end() || self.isCut || !vms_[found->second]->isAlive) {
            after(tick, [this, vm] { feed(vm); });
            return;
        }
        const std::size_t leader = found->second;
        const std::size_t number = ++self.feedNumber;
        request(leader, self.relay.feedRequest(now_), [this, vm, leader, number](const UpdateReply &reply) {
            LedgerVm &relay = *vms_[vm];
            if (relay.feedNumber == number && relay.isAlive && !relay.isCut) {
                relay.relay.onFeedReply(nameOf(leader), reply, now_);
                feed(vm);
            }
        });
        after(feedTimeout, [this, vm, number] {
            if (vms_[vm]->feedNumber == number) {
                feed(vm);
            }
        });
    }
    void serve(std::size_t vm)
    {
        if (vms_[vm]->isAlive) {
            vms_[vm]->relay.serve(now_);
        }
        after(tick, [this, vm] { serve(vm); });
    }
    void poll(std::size_t number)
    {
        Entry &entry = *entries_[number];
        const std::size_t poll = ++entry.pollNumber;
        const VmName relay = entry.selector.current(now_);
        UpdateRequest body;
        entry.content.describe(body);
        body.knownTerm = entry.term;
        body.peersDigest = peers_.digest();
        body.waitMs = static_cast<std::uint32_t>(pollWait.count());
        request(indexOf_.at(relay), std::move(body), [this, number, poll, relay](const UpdateReply &reply) {
            if (entries_[number]->pollNumber == poll) {
                onReply(number, relay, reply);
            }
        });
        after(pollTimeout, [this, number, poll, relay] {
            if (entries_[number]->pollNumber == poll) {
                entries_[number]->selector.suspect(relay, now_);
                this->poll(number);
            }
        });
    }
    void onReply(std::size_t number, const VmName &relay, const UpdateReply &reply)
    {
        Entry &entry = *entries_[number];
        entry.content.apply(reply);
        if (reply.term > entry.term) {
            entry.term = reply.term;
            entry.leader = reply.leader;
        }
        if (Milliseconds(reply.ageMs) > maxRelayAge) {
            entry.selector.suspect(relay, now_);
        } else {
            entry.selector.trust(relay);
            entry.heardAt = std::max(entry.heardAt, now_ - Milliseconds(reply.ageMs));
        }
        poll(number);
    }

    TimePoint now_ {std::chrono::hours(1)};
    std::priority_queue<Event> events_;
    std::size_t nextSequence_ = 0;
    LedgerPeers peers_;
    std::vector<std::unique_ptr<LedgerVm>> vms_;
    std::map<VmName, std::size_t> indexOf_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::size_t leader_ = 0;
};

std::vector<BackendServer> servers(std::size_t count)
{
    std::vector<BackendServer> list;
    for (std::size_t i = 0; i < count; ++i) {
        BackendServer server;
        server.id = "i-" + std::to_string(i);
        server.failureDomain = domains[i % domains.size()];
        list.push_back(std::move(server));
    }
    return list;
}

constexpr std::size_t ledgerVmCount = 125;
constexpr std::size_t entryCount = 865;
constexpr std::size_t serverCount = 500;
// Relays of each failure domain.
constexpr std::size_t relaysPerDomain = 4;
constexpr Milliseconds longTime {20'000};

} // namespace

BOOST_AUTO_TEST_SUITE(update_relay)

// Guards against a leader whose work grows with the number of entries.
BOOST_AUTO_TEST_CASE(the_leader_serves_a_fixed_number_of_relays_however_many_entries_there_are)
{
    for (const std::size_t scale : {1U, 2U}) {
        FleetSimulation fleet(ledgerVmCount * scale, entryCount * scale);
        std::vector<BackendServer> list = servers(serverCount * scale);
        fleet.publish(list);
        BOOST_TEST(fleet.runUntilUpToDate(longTime).count() <= 3000);
        fleet.run(Milliseconds(1000));
        fleet.resetCounts();
        constexpr int seconds = 5;
        fleet.run(std::chrono::seconds(seconds));
        // The leader's own share of the entries of its failure domain polls it directly.
        const std::size_t directPolls = entryCount * scale / domains.size() / relaysPerDomain * 1000 / pollWait.count();
        const std::size_t feeds = relaysPerDomain * domains.size() * 1000 / FleetSimulation::Relay::feedWait.count();
        BOOST_TEST(fleet.leaderRequests() <= seconds * (feeds + 2 * directPolls));
        // A relay serves its share of the entries.
        BOOST_TEST(fleet.maxRequests() <= seconds * (feeds + 3 * directPolls));
        // A change costs the leader the changed servers, once for each relay and entry that polls it.
        fleet.resetCounts();
        list[3].isLeaving = true;
        fleet.publish(list);
        BOOST_TEST(fleet.runUntilUpToDate(longTime).count() <= 100);
        constexpr std::size_t maxReplyBytes = 512;
        BOOST_TEST(fleet.leaderBytes()
                   <= maxReplyBytes * (relaysPerDomain * domains.size() + 2 * entryCount * scale / 20));
    }
}

// Guards against changes that come late where relays are lost: entries turn to others.
BOOST_AUTO_TEST_CASE(entries_get_changes_in_time_while_two_relays_of_a_failure_domain_are_lost)
{
    FleetSimulation fleet(ledgerVmCount, entryCount);
    std::vector<BackendServer> list = servers(serverCount);
    fleet.publish(list);
    fleet.runUntilUpToDate(longTime);
    const std::vector<std::size_t> relays = fleet.relaysOf("onne");
    BOOST_REQUIRE(relays.size() >= 2U);
    fleet.kill(relays[0]);
    fleet.kill(relays[1]);
    fleet.run(Milliseconds(50));
    list[7].isLeaving = true;
    fleet.publish(list);
    BOOST_TEST(fleet.runUntilUpToDate(longTime).count() <= 2000);
    fleet.run(Milliseconds(5000));
    BOOST_TEST(fleet.oldestUpdate().count() <= 1000);
}

// Guards against content that looks newer for having passed a relay: one that does not hear the leader is left.
BOOST_AUTO_TEST_CASE(entries_leave_a_relay_that_is_cut_off_from_the_leader)
{
    FleetSimulation fleet(ledgerVmCount, entryCount);
    std::vector<BackendServer> list = servers(serverCount);
    fleet.publish(list);
    fleet.runUntilUpToDate(longTime);
    for (const std::size_t relay : fleet.relaysOf("onne")) {
        fleet.cutFromLeader(relay);
    }
    // Notices say who leads, and not that the relay's content is recent.
    fleet.noticePeriodically(1);
    fleet.run(Milliseconds(50));
    list[7].isLeaving = true;
    fleet.publish(list);
    BOOST_TEST(fleet.runUntilUpToDate(longTime).count() <= 3000);
    fleet.run(Milliseconds(3000));
    BOOST_TEST(fleet.oldestUpdate().count() <= 1500);
}

// Guards against a deposed leader that answers as the leader of a later term.
BOOST_AUTO_TEST_CASE(a_notice_of_a_later_leader_ends_leading)
{
    std::vector<UpdateReply> replies;
    const TimePoint now {std::chrono::hours(1)};
    UpdateRelay<int> relay("a", {1, 1}, [&](int, UpdateReply reply) { replies.push_back(std::move(reply)); });
    relay.lead(1, now);
    relay.onRequest({}, 1, now);
    relay.noteLeader("b", 2, now);
    relay.onRequest({}, 2, now + Milliseconds(100));
    BOOST_REQUIRE(replies.size() == 2U);
    BOOST_TEST(replies[0].isLeader);
    BOOST_TEST(replies[0].leader == "a");
    BOOST_TEST(!replies[1].isLeader);
    BOOST_TEST(replies[1].leader == "b");
    // No word of the new leader has brought content yet.
    BOOST_TEST(replies[1].ageMs > 100'000U);
}

// Guards against entries that go on asking a deposed leader.
BOOST_AUTO_TEST_CASE(all_entries_learn_of_a_new_leader_within_round_trips)
{
    FleetSimulation fleet(ledgerVmCount, entryCount);
    std::vector<BackendServer> list = servers(serverCount);
    fleet.publish(list);
    fleet.runUntilUpToDate(longTime);
    fleet.run(Milliseconds(1000));
    const std::size_t successor = fleet.relaysOf("lekki").front();
    fleet.kill(0);
    fleet.lead(successor, 2);
    fleet.run(Milliseconds(100));
    // Those that polled the lost leader itself turn to another relay first.
    BOOST_TEST(fleet.entriesThatKnow(successor) >= entryCount * 9 / 10);
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.entriesThatKnow(successor) == entryCount);
    // The successor goes on from its copy of the list.
    list[9].isLeaving = true;
    fleet.publish(list);
    BOOST_TEST(fleet.runUntilUpToDate(longTime).count() <= 100);
}

// Guards against entries that send a request again before they know that servers have ended under it.
BOOST_AUTO_TEST_CASE(all_entries_learn_of_a_suspect_within_round_trips)
{
    constexpr RequestFingerprint first = 1;
    constexpr RequestFingerprint second = 2;
    FleetSimulation fleet(ledgerVmCount, entryCount);
    fleet.publish(servers(serverCount));
    fleet.runUntilUpToDate(longTime);
    fleet.run(Milliseconds(1000));
    SuspectList suspects;
    suspects.add(first, 100);
    fleet.publish(suspects);
    fleet.run(Milliseconds(100));
    BOOST_TEST(fleet.entriesThatSuspect(first) == entryCount);
    suspects.remove(first, 101);
    suspects.add(second, 102);
    fleet.publish(suspects);
    fleet.run(Milliseconds(100));
    BOOST_TEST(fleet.entriesThatSuspect(first) == 0U);
    BOOST_TEST(fleet.entriesThatSuspect(second) == entryCount);
}

BOOST_AUTO_TEST_SUITE_END()
