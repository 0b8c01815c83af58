#include "src/gateway/cp_event_stream_scanner.hpp"

#include <cstdint>
#include <cstdlib>

using namespace cardamompost;

namespace
{

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace

//! The first byte selects how the rest is split. A stream must be read alike in one piece and in several, and an empty
//! line must end whatever event is incomplete.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view stream(reinterpret_cast<const char *>(data) + 1, size - 1);
    EventStreamScanner whole;
    whole.feed(stream);
    EventStreamScanner split;
    std::size_t relayable = 0;
    std::uint32_t draw = data[0];
    for (std::size_t offset = 0; offset < stream.size();) {
        draw = draw * 1664525U + 1013904223U;
        const std::string_view part = stream.substr(offset, 1 + (draw >> 24U) % 7);
        const std::size_t complete = split.feed(part);
        require(complete <= part.size());
        relayable = complete == 0 ? relayable : offset + complete;
        offset += part.size();
    }
    require(split.output() == whole.output());
    require(split.eventCount() == whole.eventCount());
    require(split.lastId() == whole.lastId());
    require(split.isInsideEvent() == whole.isInsideEvent());
    // What may be relayed ends between two events. The comment settles whether a CR at the end is a whole line end.
    EventStreamScanner prefix;
    prefix.feed(stream.substr(0, relayable));
    prefix.feed(":\n");
    require(!prefix.isInsideEvent());
    split.feed("\n\n");
    require(!split.isInsideEvent());
    return 0;
}
