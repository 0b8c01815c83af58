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

// A pipe that is ready for writing takes this much at once without waiting.
constexpr std::size_t pieceBytes = PIPE_BUF;

} // namespace

LogPipe::LogPipe(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
{
}

void LogPipe::append(std::string_view line)
{
    waiting_ += line;
    waiting_ += '\n';
}

void LogPipe::add(std::string_view line)
{
    if (waiting_.size() + line.size() + 1 > capacity_) {
        flush();
    }
    if (waiting_.size() + line.size() + 1 > capacity_) {
        ++dropped_;
        ++unreported_;
        return;
    }
    if (unreported_ != 0) {
        append(
            fmt::format(R"({{"level":"warning","event":"log.dropped","lines":{},"total":{}}})", unreported_, dropped_));
        unreported_ = 0;
    }
    append(line);
    if (waiting_.size() >= pieceBytes) {
        flush();
    }
}

void LogPipe::flush()
{
    std::size_t done = 0;
    while (done < waiting_.size()) {
        pollfd ready {descriptor_, POLLOUT, 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t size = std::min(pieceBytes, waiting_.size() - done);
        const ssize_t written = ::write(descriptor_, waiting_.data() + done, size);
        if (written <= 0) {
            break;
        }
        done += static_cast<std::size_t>(written);
    }
    waiting_.erase(0, done);
}

} // namespace cardamompost
