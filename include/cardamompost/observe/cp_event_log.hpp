#ifndef CARDAMOMPOST_CP_EVENT_LOG_HPP_INCLUDED
#define CARDAMOMPOST_CP_EVENT_LOG_HPP_INCLUDED

#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog
{
class logger;
}

namespace cardamompost
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

//! Structured log that writes events as JSON lines: "time", "level", "vm", "event" and the event's own fields.
//! Thread-safe.
class EventLog
{
public:
    //! \param file   empty for standard error, "-" for standard output, which never blocks a writer
    //! \param level  "debug", "info", "warning" or "error"; anything else means "info"
    EventLog(std::string vm, const std::string &file, const std::string &level);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    //! Writes buffered lines; must be called a few times a second when the file is "-".
    void flush();
    //! Number of lines dropped because standard output was not read.
    [[nodiscard]] std::uint64_t dropped() const;
    void write(LogLevel level, std::string_view event, const boost::json::object &fields = {});
    void info(std::string_view event, const boost::json::object &fields = {})
    {
        write(LogLevel::Info, event, fields);
    }
    void warn(std::string_view event, const boost::json::object &fields = {})
    {
        write(LogLevel::Warning, event, fields);
    }
    void debug(std::string_view event, const boost::json::object &fields = {})
    {
        write(LogLevel::Debug, event, fields);
    }

private:
    std::string vm_;
    std::shared_ptr<spdlog::logger> logger_;
    std::function<std::uint64_t()> dropped_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_EVENT_LOG_HPP_INCLUDED
