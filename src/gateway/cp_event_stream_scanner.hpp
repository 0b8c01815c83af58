#ifndef CARDAMOMPOST_CP_EVENT_STREAM_SCANNER_HPP_INCLUDED
#define CARDAMOMPOST_CP_EVENT_STREAM_SCANNER_HPP_INCLUDED

#include <cardamompost/net/cp_sse_line_reader.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompost
{

//! Scans a stream of server-sent events while it is forwarded: counts complete events, and records their data if
//! it is needed.
class EventStreamScanner
{
public:
    //! \param keepsOutput  whether the events' data is recorded for output()
    //! \returns the number of bytes up to the last place between two events; 0 if there is none in these bytes
    std::size_t feed(std::string_view bytes, bool keepsOutput = true);

    //! Number of complete events that have data.
    [[nodiscard]] std::uint64_t eventCount() const
    {
        return eventCount_;
    }
    //! Id of the last complete event that has one; empty if none has.
    [[nodiscard]] const std::string &lastId() const
    {
        return lastId_;
    }
    //! Recorded data of all complete events, each terminated by a line feed.
    [[nodiscard]] std::string &output()
    {
        return output_;
    }
    //! True if the bytes so far end with an incomplete event.
    [[nodiscard]] bool isInsideEvent() const
    {
        return lines_.isInsideEvent();
    }
    //! True if the last event names the place after which another server can continue.
    [[nodiscard]] bool canContinue() const
    {
        return eventCount_ == 0 || hasLastEventId_;
    }
    //! Discards an incomplete event, as when a stream is resumed on another connection.
    void discardPartialEvent();

private:
    void processField(std::string_view line, bool keepsOutput);
    void dispatchEvent(bool keepsOutput);

    SseLineReader lines_;
    std::string data_;
    std::string id_;
    std::string lastId_;
    std::string output_;
    std::uint64_t eventCount_ = 0;
    bool hasData_ = false;
    //! True if the last event with data has an id.
    bool hasLastEventId_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_EVENT_STREAM_SCANNER_HPP_INCLUDED
