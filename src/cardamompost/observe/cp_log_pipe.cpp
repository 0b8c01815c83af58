#include <cardamompost/observe/cp_log_pipe.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace cardamompost
{

namespace
{

// A writable pipe accepts this much without blocking.
constexpr std::size_t maxWriteBytes = PIPE_BUF;

} // namespace

LogPipe::LogPipe(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
{
}

void LogPipe::append(std::string_view line)
{
    buffer_ += line;
    buffer_ += '\n';
}

void LogPipe::add(std::string_view line)
{
    if (buffer_.size() + line.size() + 1 > capacity_) {
        flush();
    }
    if (buffer_.size() + line.size() + 1 > capacity_) {
        ++dropped_;
        ++unreportedDrops_;
        return;
    }
    if (unreportedDrops_ != 0) {
        append(fmt::format(R"({{"level":"warning","event":"log.dropped","lines":{},"total":{}}})", unreportedDrops_,
                           dropped_));
        unreportedDrops_ = 0;
    }
    append(line);
    if (buffer_.size() >= maxWriteBytes) {
        flush();
    }
}

void LogPipe::flush()
{
    std::size_t done = 0;
    while (done < buffer_.size()) {
        pollfd ready {descriptor_, POLLOUT, 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t size = std::min(maxWriteBytes, buffer_.size() - done);
        const ssize_t written = ::write(descriptor_, buffer_.data() + done, size);
        if (written <= 0) {
            break;
        }
        done += static_cast<std::size_t>(written);
    }
    buffer_.erase(0, done);
}

} // namespace cardamompost
