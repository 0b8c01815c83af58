#ifndef CARDAMOMPOST_CP_SSE_PARSER_HPP_INCLUDED
#define CARDAMOMPOST_CP_SSE_PARSER_HPP_INCLUDED

#include <cardamompost/net/cp_sse_line_reader.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cardamompost
{

//! One event of a text/event-stream.
struct SseEvent {
    //! 0 when the event has no numeric id.
    std::uint64_t id = 0;
    std::string name;
    std::string data;
};

//! Incremental parser for text/event-stream; accepts chunks of any size.
class SseParser
{
public:
    //! Returning false stops the parser.
    using Handler = std::function<bool(const SseEvent &event)>;

    //! \returns false when the handler returned false
    bool feed(std::string_view bytes, const Handler &handler);

private:
    bool parseLine(std::string_view line, const Handler &handler);

    SseLineReader lines_;
    SseEvent event_;
};

//! Formats an event; the data must not contain a line feed.
[[nodiscard]] std::string formatSse(std::uint64_t id, std::string_view name, std::string_view data);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SSE_PARSER_HPP_INCLUDED
