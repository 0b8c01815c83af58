#include <cardamompost/core/cp_name_table.hpp>
#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/observe/cp_log_pipe.hpp>

#include <boost/json/serialize.hpp>
#include <fmt/chrono.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

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

// The name that stands for standard output where a file is named.
constexpr std::string_view standardOutput = "-";

// About a second of lines of a busy entry.
constexpr std::size_t pipeCapacity = 256U << 10U;

//! Standard output, which somebody may have stopped to read.
class PipeSink : public spdlog::sinks::base_sink<std::mutex>
{
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
    LogPipe pipe_ {STDOUT_FILENO, pipeCapacity};
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

std::string timeNow()
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto milliseconds = now.time_since_epoch().count() % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                       milliseconds);
}

} // namespace

EventLog::EventLog(std::string vm, const std::string &file, const std::string &level)
    : vm_(std::move(vm))
{
    spdlog::sink_ptr sink;
    if (file.empty()) {
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    } else if (file == standardOutput) {
        sink = std::make_shared<PipeSink>();
    } else {
        sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
    }
    logger_ = std::make_shared<spdlog::logger>("cardamompost", sink);
    logger_->set_pattern("%v");
    logger_->set_level(toSpdlog(valueOf(levelNames, level).value_or(LogLevel::Info)));
    logger_->flush_on(file == standardOutput ? spdlog::level::warn : spdlog::level::info);
}

EventLog::~EventLog()
{
    flush();
}

void EventLog::flush()
{
    logger_->flush();
}

void EventLog::write(LogLevel level, std::string_view event, boost::json::object fields)
{
    if (!logger_->should_log(toSpdlog(level))) {
        return;
    }
    boost::json::object line;
    line["time"] = timeNow();
    line["level"] = nameOf(levelNames, level);
    line["vm"] = vm_;
    line["event"] = event;
    for (auto &field : fields) {
        line[field.key()] = std::move(field.value());
    }
    logger_->log(toSpdlog(level), boost::json::serialize(line));
}

} // namespace cardamompost
