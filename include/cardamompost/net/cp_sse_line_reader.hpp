#ifndef CARDAMOMPOST_CP_SSE_LINE_READER_HPP_INCLUDED
#define CARDAMOMPOST_CP_SSE_LINE_READER_HPP_INCLUDED

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamompost
{

//! A line of a text/event-stream.
struct SseLine {
    //! Without the line's end.
    std::string_view text;
    //! Offset behind the line's end in the bytes being read.
    std::size_t end = 0;
    //! True if no event is incomplete after this line.
    bool endsBetweenEvents = false;
};

//! Splits a text/event-stream into lines, which end with LF, CRLF or CR, and tells whether the stream may end where it
//! is. Accepts chunks of any size.
class SseLineReader
{
public:
    //! \param onLine  called with each SseLine; returning false stops the reader
    //! \returns false if onLine returned false
    template<typename Handler>
    bool feed(std::string_view bytes, Handler onLine)
    {
        std::size_t next = 0;
        while (next < bytes.size()) {
            if (isLineFeedOptional_ && bytes[next] == '\n') {
                ++next;
                isLineFeedOptional_ = false;
                usesCarriageReturn_ = false;
                continue;
            }
            isLineFeedOptional_ = false;
            if (hasPendingCarriageReturn_) {
                usesCarriageReturn_ = bytes[next] != '\n';
                next += usesCarriageReturn_ ? 0 : 1;
                if (!endLine({}, next, onLine)) {
                    return false;
                }
                continue;
            }
            const std::size_t end = bytes.find_first_of("\r\n", next);
            const std::string_view part = bytes.substr(next, end == std::string_view::npos ? end : end - next);
            if (end == std::string_view::npos) {
                append(part);
                break;
            }
            next = end + 1;
            if (bytes[end] == '\r' && !usesCarriageReturn_) {
                append(part);
                hasPendingCarriageReturn_ = true;
                continue;
            }
            isLineFeedOptional_ = bytes[end] == '\r';
            if (!endLine(part, next, onLine)) {
                return false;
            }
        }
        return true;
    }

    //! True if the stream so far ends with an event that lacks its empty line, or with an incomplete line.
    [[nodiscard]] bool isInsideEvent() const
    {
        return hasField_ || !line_.empty() || hasPendingCarriageReturn_;
    }
    //! Discards an incomplete event.
    void discardPartialEvent()
    {
        line_.clear();
        hasField_ = false;
        hasPendingCarriageReturn_ = false;
        isLineFeedOptional_ = false;
        usesCarriageReturn_ = false;
    }

private:
    // Longer lines are truncated.
    static constexpr std::size_t maxLineBytes = 8U << 20U;

    void append(std::string_view bytes)
    {
        if (line_.size() < maxLineBytes) {
            line_ += bytes;
        }
    }

    //! \param part  what the line has beyond its earlier bytes
    template<typename Handler>
    bool endLine(std::string_view part, std::size_t end, Handler &onLine)
    {
        hasPendingCarriageReturn_ = false;
        if (!line_.empty()) {
            append(part);
            part = line_;
        }
        hasField_ = !part.empty() && (hasField_ || !part.starts_with(':'));
        const bool mayContinue = onLine(SseLine {part, end, !hasField_});
        line_.clear();
        return mayContinue;
    }

    std::string line_;
    //! True if the event has had a line that is not a comment.
    bool hasField_ = false;
    //! The last byte was a CR, and a LF may belong to it.
    bool hasPendingCarriageReturn_ = false;
    //! As above, but the line has been passed on, since the stream's lines end with CR alone.
    bool isLineFeedOptional_ = false;
    bool usesCarriageReturn_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SSE_LINE_READER_HPP_INCLUDED
