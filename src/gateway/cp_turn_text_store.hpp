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

//! Brings what turns said to where it is needed: from the disk, or from another member while this one lacks it.
//!
//! A snapshot of the ledger holds no texts, so a member that was given one asks the others for them, oldest first, and
//! until it has them all it is none that may take a lost member's place. Thread-safety: none; the io_context's thread.
class TurnTextStore
{
public:
    struct Parts {
        boost::asio::io_context &io;
        DiskThread &disk;
        PeerClients &peers;
        EventLog &log;
        MetricRegistry &metrics;
        //! Of the state that is in force now.
        std::function<TurnTexts &()> texts;
        //! Whom to ask, the busiest last.
        std::function<std::vector<VmName>()> members;
    };
    //! The texts one after the other; nothing when they can't be had in time.
    using Done = std::function<void(std::optional<std::string> text)>;

    explicit TurnTextStore(Parts parts);

    //! Learns what the disk holds. Only before the disk's thread runs.
    void open(LogStore &store);
    void stop();

    //! Answers at once when all is in memory.
    void read(std::vector<LogIndex> indexes, Done done);
    //! Another member asks.
    void onRequest(const TurnTextsRequest &request, std::shared_ptr<PeerReplier> replier);
    //! What a snapshot's batch has to hold besides, so that the log may be cut behind it.
    void addToSnapshot(LogBatch &batch);
    //! To be called when texts may be missing, and from time to time.
    void fetchMissing();

private:
    using Texts = std::map<LogIndex, std::string>;
    struct Read {
        std::vector<LogIndex> indexes;
        Texts texts;
        Done done;
        TimePoint deadline;
        bool isReading = false;
    };

    //! Takes what is in memory, and asks the disk for what it holds. \returns true when the read is over
    bool advance(const std::shared_ptr<Read> &read);
    void advanceWaiting();
    void finish(Read &read, bool isComplete);
    void readDisk(std::vector<LogIndex> indexes, std::function<void(Texts texts)> done);
    [[nodiscard]] std::vector<LogIndex> nextToFetch() const;
    //! Nothing while none is known that could answer.
    [[nodiscard]] std::optional<VmName> pickMember();
    void fetch(const VmName &member, std::vector<LogIndex> indexes);
    void onFetched(const VmName &member, const std::vector<LogIndex> &asked, TurnTextsReply reply);
    void storeFetched(std::vector<TurnText> texts);
    void scheduleTick();

    Parts parts_;
    boost::asio::steady_timer timer_;
    bool isStopped_ = false;
    std::vector<std::shared_ptr<Read>> waiting_;
    //! Asked for, or being written.
    std::set<LogIndex> requested_;
    unsigned fetches_ = 0;
    std::size_t nextMember_ = 0;
    //! Members that had none of what they were asked for, or did not answer.
    std::unordered_map<VmName, TimePoint> degradedUntil_;
    bool wasMissing_ = false;
    Counter &fetched_;
    Counter &diskReads_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_TEXT_STORE_HPP_INCLUDED
