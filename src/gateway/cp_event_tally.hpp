#ifndef CARDAMOMPOST_CP_EVENT_TALLY_HPP_INCLUDED
#define CARDAMOMPOST_CP_EVENT_TALLY_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompost
{

//! Reads along in an event stream that is passed on as bytes: counts its events and keeps their data.
class EventTally
{
public:
    //! \returns how many of the bytes end with a whole event; what follows belongs to one that is not whole yet
    std::size_t feed(std::string_view bytes);

    //! Whole events with data.
    [[nodiscard]] std::uint64_t events() const
    {
        return events_;
    }
    //! Id of the last whole event; empty when none had one.
    [[nodiscard]] const std::string &lastId() const
    {
        return lastId_;
    }
    //! The data of each event, each followed by a line feed.
    [[nodiscard]] std::string &output()
    {
        return output_;
    }
    //! Forgets the event that is not whole, as when its stream broke off.
    void dropPartial();

private:
    void endLine(std::string_view line);
    void endEvent();

    std::string line_;
    std::string data_;
    std::string id_;
    std::string lastId_;
    std::string output_;
    std::uint64_t events_ = 0;
    bool hasData_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_EVENT_TALLY_HPP_INCLUDED
