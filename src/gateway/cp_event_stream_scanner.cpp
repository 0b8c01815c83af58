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

std::size_t EventStreamScanner::feed(std::string_view bytes)
{
    std::size_t completeBytes = 0;
    std::size_t begin = 0;
    while (begin < bytes.size()) {
        const std::size_t end = bytes.find('\n', begin);
        if (end == std::string_view::npos) {
            line_ += bytes.substr(begin);
            break;
        }
        line_ += bytes.substr(begin, end - begin);
        begin = end + 1;
        if (line_.ends_with('\r')) {
            line_.pop_back();
        }
        if (line_.empty()) {
            dispatchEvent();
            completeBytes = begin;
        } else {
            processField(line_);
        }
        line_.clear();
    }
    return completeBytes;
}

void EventStreamScanner::processField(std::string_view line)
{
    constexpr std::string_view dataField = "data";
    constexpr std::string_view idField = "id";
    hasField_ = hasField_ || !line.starts_with(':');
    if (line.starts_with("data:")) {
        if (hasData_) {
            data_ += '\n';
        }
        data_ += fieldValue(line, dataField.size());
        hasData_ = true;
    } else if (line.starts_with("id:")) {
        id_ = fieldValue(line, idField.size());
    }
}

void EventStreamScanner::dispatchEvent()
{
    if (!id_.empty()) {
        lastId_ = id_;
    }
    if (hasData_) {
        ++eventCount_;
        output_ += data_;
        output_ += '\n';
    }
    data_.clear();
    id_.clear();
    hasData_ = false;
    hasField_ = false;
}

void EventStreamScanner::discardPartialEvent()
{
    line_.clear();
    data_.clear();
    id_.clear();
    hasData_ = false;
    hasField_ = false;
}

} // namespace cardamompost
