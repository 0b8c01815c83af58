#include "cp_event_stream_scanner.hpp"

namespace cardamompost
{

namespace
{

//! The value of a field line, without a single space after the colon.
std::string_view fieldValue(std::string_view line, std::size_t nameSize)
{
    std::string_view value = line.substr(nameSize + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace

std::size_t EventStreamScanner::feed(std::string_view bytes, bool keepsOutput)
{
    std::size_t completeBytes = 0;
    lines_.feed(bytes, [&](const SseLine &line) {
        if (line.text.empty()) {
            dispatchEvent(keepsOutput);
        } else {
            processField(line.text, keepsOutput);
        }
        completeBytes = line.endsBetweenEvents ? line.end : completeBytes;
        return true;
    });
    return completeBytes;
}

void EventStreamScanner::processField(std::string_view line, bool keepsOutput)
{
    constexpr std::string_view dataField = "data";
    constexpr std::string_view idField = "id";
    if (line.starts_with("data:")) {
        if (keepsOutput) {
            data_ += hasData_ ? "\n" : "";
            data_ += fieldValue(line, dataField.size());
        }
        hasData_ = true;
    } else if (line.starts_with("id:")) {
        id_ = fieldValue(line, idField.size());
    }
}

void EventStreamScanner::dispatchEvent(bool keepsOutput)
{
    if (!id_.empty()) {
        lastId_ = id_;
    }
    if (hasData_) {
        ++eventCount_;
        hasLastEventId_ = !id_.empty();
        output_ += data_;
        output_ += keepsOutput ? "\n" : "";
    }
    data_.clear();
    id_.clear();
    hasData_ = false;
}

void EventStreamScanner::discardPartialEvent()
{
    lines_.discardPartialEvent();
    data_.clear();
    id_.clear();
    hasData_ = false;
}

} // namespace cardamompost
