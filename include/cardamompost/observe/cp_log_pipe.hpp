#ifndef CARDAMOMPOST_CP_LOG_PIPE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOG_PIPE_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompost
{

//! Bounded, non-blocking line buffer in front of a descriptor, such as a pipe whose reader may have stopped.
//!
//! Lines that do not fit are dropped and counted; a "log.dropped" line reports the count once there is space again.
//! Not thread-safe.
class LogPipe
{
public:
    //! \param capacity  maximum number of buffered bytes
    LogPipe(int descriptor, std::size_t capacity);

    //! Buffers a line, given without its line feed; writes when enough bytes are buffered.
    void add(std::string_view line);
    //! Writes as many buffered bytes as possible without blocking.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const
    {
        return dropped_;
    }
    [[nodiscard]] std::size_t bufferedBytes() const
    {
        return buffer_.size();
    }

private:
    void append(std::string_view line);

    int descriptor_;
    std::size_t capacity_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreportedDrops_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOG_PIPE_HPP_INCLUDED
