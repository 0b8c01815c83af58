#ifndef CARDAMOMPOST_CP_LOG_EXPLAINER_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOG_EXPLAINER_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompost
{

//! A log line that is part of an explanation.
struct ExplainedLine {
    //! Milliseconds since the Unix epoch, by the clock of the process that wrote the line.
    std::int64_t timeMs = 0;
    std::string vm;
    std::string event;
    //! The whole line.
    std::string text;
};

//! What the logs tell about how one request ended.
struct Explanation {
    //! Lines of all processes that name the request, ordered by time.
    std::vector<ExplainedLine> lines;
    //! State changes of all processes around the end of the request, ordered by time.
    std::vector<ExplainedLine> contextLines;
    //! One sentence.
    std::string cause;
    //! Logs that are needed for a complete explanation; empty when none are missing.
    std::string missing;
};

//! Collects log lines of any processes, in any order, and explains from them how a request ended.
class LogExplainer
{
public:
    //! Adds a line; lines that are not log events are ignored.
    //! \returns true for a log event
    bool add(std::string_view line);

    [[nodiscard]] Explanation explain(std::string_view requestId) const;

private:
    //! Adds the lines of other attempts at the same work, whose requests and callers may be others.
    void addAttempts(const std::string &fingerprint, std::string_view requestId, Explanation &result) const;

    std::vector<ExplainedLine> lines_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOG_EXPLAINER_HPP_INCLUDED
