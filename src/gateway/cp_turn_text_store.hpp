#ifndef CARDAMOMPOST_CP_TURN_TEXT_STORE_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_TEXT_STORE_HPP_INCLUDED

#include "../daemon/cp_disk_thread.hpp"
#include "cp_peer_clients.hpp"

#include <cardamompost/ledger/cp_turn_texts.hpp>
#include <cardamompost/net/cp_peer_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cardamompost
{

//! Reads turn texts from memory or disk, and fetches missing ones from other members.
//!
//! A snapshot of the ledger contains no texts, so a member restored from one fetches them, oldest first. It does not
//! count as caught up until it has all of them. Thread-safety: none; runs on the io_context's thread.
class TurnTextStore
{
public:
    struct Parts {
        boost::asio::io_context &io;
        DiskThread &disk;
        PeerClients &peers;
        EventLog &log;
        MetricRegistry &metrics;
        //! Texts of the current state, which a restore replaces.
        std::function<TurnTexts &()> texts;
        //! Members to fetch from, the leader last.
        std::function<std::vector<VmName>()> members;
    };
    //! Called with the concatenated texts, or nothing if they are not available in time.
    using ReadCallback = std::function<void(std::optional<std::string> text)>;

    explicit TurnTextStore(Parts parts);

    //! Registers the texts on disk. Must be called before the disk thread starts.
    void open(LogStore &store);
    void stop();

    //! Calls back synchronously if all texts are in memory.
    void read(std::vector<LogIndex> indexes, ReadCallback done);
    //! Handles a request from another member.
    void onRequest(const TurnTextsRequest &request, std::shared_ptr<PeerReplier> replier);
    //! Adds the texts that must be stored before the log is compacted, and deletions of obsolete ones.
    void addToSnapshot(LogBatch &batch);
    //! Starts fetches for missing texts, up to the concurrency limit.
    void fetchMissing();

private:
    using Texts = std::map<LogIndex, std::string>;
    struct Read {
        std::vector<LogIndex> indexes;
        Texts texts;
        ReadCallback done;
        TimePoint deadline;
        bool isReadingDisk = false;
    };

    //! Collects texts from memory and starts a disk read for stored ones. \returns true if the read is finished
    bool advance(const std::shared_ptr<Read> &read);
    void advanceWaiting();
    void finish(Read &read, bool isComplete);
    void readDisk(std::vector<LogIndex> indexes, std::function<void(Texts texts)> done);
    [[nodiscard]] std::vector<LogIndex> selectMissing() const;
    //! Returns nothing if no member is available.
    [[nodiscard]] std::optional<VmName> pickMember();
    void fetch(const VmName &member, std::vector<LogIndex> indexes);
    void onFetched(const VmName &member, const std::vector<LogIndex> &requested, TurnTextsReply reply);
    void storeFetched(std::vector<TurnText> texts);
    void scheduleTick();

    Parts parts_;
    boost::asio::steady_timer timer_;
    bool isStopped_ = false;
    std::vector<std::shared_ptr<Read>> waiting_;
    //! Indexes being fetched or written.
    std::set<LogIndex> requested_;
    unsigned fetches_ = 0;
    std::size_t nextMember_ = 0;
    //! Members that returned no texts or did not reply, and when to retry them.
    std::unordered_map<VmName, TimePoint> degradedUntil_;
    bool hadMissing_ = false;
    Counter &fetched_;
    Counter &diskReads_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_TEXT_STORE_HPP_INCLUDED
