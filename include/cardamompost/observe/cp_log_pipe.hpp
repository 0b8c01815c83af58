#ifndef CARDAMOMPOST_CP_LOG_PIPE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOG_PIPE_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompost
{

//! Lines on their way to a descriptor that somebody may not read: bounded, and never waiting.
//!
//! Guards requests against a log that nobody takes: a full pipe would stop the whole process at its next line. What
//! does not fit is dropped, counted, and the count is told by a line of its own once there is room again.
//! Thread-safety: none; a sink locks around it.
class LogPipe
{
public:
    //! \param capacity  bytes that may wait
    LogPipe(int descriptor, std::size_t capacity);

    //! Takes a line without its line feed. Writes only when enough waits to be worth a call.
    void add(std::string_view line);
    //! Writes what can be written without waiting.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const
    {
        return dropped_;
    }
    [[nodiscard]] std::size_t waitingBytes() const
    {
        return waiting_.size();
    }

private:
    void append(std::string_view line);

    int descriptor_;
    std::size_t capacity_;
    std::string waiting_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreported_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOG_PIPE_HPP_INCLUDED
