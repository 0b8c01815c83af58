#include <cardamompost/core/cp_name_table.hpp>
#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/observe/cp_log_pipe.hpp>

#include <boost/json/serialize.hpp>
#include <fmt/chrono.h>
#include <fmt/compile.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <unistd.h>

namespace cardamompost
{

namespace
{

constexpr std::array levelNames {
    Named {LogLevel::Debug, "debug"},
    Named {LogLevel::Info, "info"},
    Named {LogLevel::Warning, "warning"},
    Named {LogLevel::Error, "error"},
};

// File name that selects standard output.
constexpr std::string_view standardOutputName = "-";

constexpr std::size_t typicalLineBytes = 512;

// About a second of log lines of a busy entry.
constexpr std::size_t pipeCapacityBytes = 256U << 10U;

//! Log sink for standard output that never blocks.
class StandardOutputSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    [[nodiscard]] std::uint64_t dropped()
    {
        const std::lock_guard lock(mutex_);
        return pipe_.dropped();
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        pipe_.add({message.payload.data(), message.payload.size()});
    }
    void flush_() override
    {
        pipe_.flush();
    }

private:
    LogPipe pipe_ {STDOUT_FILENO, pipeCapacityBytes};
};

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        break;
    }
    return spdlog::level::err;
}

//! Appends the current time. The calendar part is cached for a second because formatting it is expensive.
void appendTime(std::string &line)
{
    thread_local std::int64_t lastSecond = -1;
    thread_local std::string calendar;
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const std::int64_t milliseconds = now.time_since_epoch().count();
    if (milliseconds / 1000 != lastSecond) {
        lastSecond = milliseconds / 1000;
        calendar = fmt::format("{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(std::chrono::system_clock::to_time_t(now)));
    }
    fmt::format_to(std::back_inserter(line), FMT_COMPILE("{}.{:03}Z"), calendar, milliseconds % 1000);
}

bool needsNoEscape(char c)
{
    return c >= ' ' && c != '"' && c != '\\' && c != '\x7f';
}

void appendText(std::string &line, std::string_view text)
{
    if (!std::all_of(text.begin(), text.end(), needsNoEscape)) {
        line += boost::json::serialize(boost::json::string_view(text.data(), text.size()));
        return;
    }
    line += '"';
    line += text;
    line += '"';
}

//! Same output as serialize(), without a temporary string for the most common types.
void appendValue(std::string &line, const boost::json::value &value)
{
    if (const auto *text = value.if_string()) {
        appendText(line, {text->data(), text->size()});
    } else if (const auto *number = value.if_int64()) {
        fmt::format_to(std::back_inserter(line), FMT_COMPILE("{}"), *number);
    } else {
        line += boost::json::serialize(value);
    }
}

void appendField(std::string &line, std::string_view name, std::string_view text)
{
    line += line.empty() ? "{" : ",";
    appendText(line, name);
    line += ':';
    appendText(line, text);
}

} // namespace

EventLog::EventLog(std::string vm, const std::string &file, const std::string &level)
    : vm_(std::move(vm))
{
    spdlog::sink_ptr sink;
    if (file.empty()) {
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    } else if (file == standardOutputName) {
        auto pipe = std::make_shared<StandardOutputSink>();
        dropped_ = [pipe] { return pipe->dropped(); };
        sink = std::move(pipe);
    } else {
        sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
    }
    logger_ = std::make_shared<spdlog::logger>("cardamompost", sink);
    logger_->set_pattern("%v");
    logger_->set_level(toSpdlog(valueOf(levelNames, level).value_or(LogLevel::Info)));
    logger_->flush_on(file == standardOutputName ? spdlog::level::warn : spdlog::level::info);
}

EventLog::~EventLog()
{
    flush();
}

std::uint64_t EventLog::dropped() const
{
    return dropped_ ? dropped_() : 0;
}

void EventLog::flush()
{
    logger_->flush();
}

void EventLog::write(LogLevel level, std::string_view event, const boost::json::object &fields)
{
    if (!logger_->should_log(toSpdlog(level))) {
        return;
    }
    std::string line;
    line.reserve(typicalLineBytes);
    line += R"({"time":")";
    appendTime(line);
    line += '"';
    appendField(line, "level", nameOf(levelNames, level));
    appendField(line, "vm", vm_);
    appendField(line, "event", event);
    for (const auto &field : fields) {
        line += ',';
        appendText(line, {field.key().data(), field.key().size()});
        line += ':';
        appendValue(line, field.value());
    }
    line += '}';
    logger_->log(toSpdlog(level), line);
}

} // namespace cardamompost
