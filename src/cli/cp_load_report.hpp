#ifndef CARDAMOMPOST_CP_LOAD_REPORT_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOAD_REPORT_HPP_INCLUDED

#include <boost/json/object.hpp>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cardamompost::cli
{

//! Results of one program of the load.
struct ProgramOutcome {
    std::string workClass;
    std::uint64_t calls = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t resumes = 0;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0;
    std::vector<double> firstTokenMs;
    //! Total call time, without pauses between turns.
    double workMs = 0;
    double longestSilenceMs = 0;
    bool isFinished = false;
    //! The stored history or a final text differs from what the program received.
    bool isHistoryBroken = false;
    std::string error;
};

//! Aggregates program outcomes by work class. Thread-safe.
class LoadReport
{
public:
    void recordStart();
    void add(const ProgramOutcome &outcome);

    [[nodiscard]] std::string progressLine() const;
    [[nodiscard]] boost::json::object body() const;
    void print() const;
    //! True if every started program finished with an intact history.
    [[nodiscard]] bool isClean() const;

private:
    struct ClassStatistics {
        std::vector<double> workMs;
        std::vector<double> firstTokenMs;
        std::uint64_t programs = 0;
        std::uint64_t finished = 0;
        std::uint64_t calls = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
    };

    mutable std::mutex mutex_;
    std::uint64_t started_ = 0;
    std::uint64_t ended_ = 0;
    std::uint64_t resumes_ = 0;
    std::uint64_t brokenHistories_ = 0;
    double longestSilenceMs_ = 0;
    std::map<std::string, ClassStatistics> classes_;
    std::map<std::string, std::uint64_t> errors_;
};

} // namespace cardamompost::cli

#endif // CARDAMOMPOST_CP_LOAD_REPORT_HPP_INCLUDED
