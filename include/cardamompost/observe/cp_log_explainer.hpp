#ifndef CARDAMOMPOST_CP_LOG_EXPLAINER_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOG_EXPLAINER_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompost
{

//! One line of a log that belongs to an explanation.
struct ExplainedLine {
    //! Milliseconds since 1970, as the process's own clock had it.
    std::int64_t timeMs = 0;
    std::string vm;
    std::string event;
    //! The whole line.
    std::string text;
};

//! What the logs say of one request.
struct Explanation {
    //! Lines that name the request, of all processes, by time.
    std::vector<ExplainedLine> lines;
    //! What processes believed or lost around its end.
    std::vector<ExplainedLine> surroundings;
    //! One sentence.
    std::string cause;
    //! What can't be told from these lines; empty when nothing is missing.
    std::string missing;
};

//! Collects log lines of any processes, in any order, and tells from them why a request ended as it did.
class LogExplainer
{
public:
    //! Takes a line; anything that is not a line of our log is passed over.
    //! \returns true for a line of our log
    bool add(std::string_view line);

    [[nodiscard]] Explanation explain(std::string_view requestId) const;

private:
    std::vector<ExplainedLine> lines_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOG_EXPLAINER_HPP_INCLUDED
