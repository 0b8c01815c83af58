#include "cp_event_tally.hpp"

namespace cardamompost
{

namespace
{

//! The value of a field line, without the one space that may follow the colon.
std::string_view fieldValue(std::string_view line, std::size_t nameSize)
{
    std::string_view value = line.substr(nameSize + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace

std::size_t EventTally::feed(std::string_view bytes)
{
    std::size_t wholeUpTo = 0;
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
            endEvent();
            wholeUpTo = begin;
        } else {
            endLine(line_);
        }
        line_.clear();
    }
    return wholeUpTo;
}

void EventTally::endLine(std::string_view line)
{
    constexpr std::string_view dataField = "data";
    constexpr std::string_view idField = "id";
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

void EventTally::endEvent()
{
    if (!id_.empty()) {
        lastId_ = id_;
    }
    if (hasData_) {
        ++events_;
        output_ += data_;
        output_ += '\n';
    }
    data_.clear();
    id_.clear();
    hasData_ = false;
}

void EventTally::dropPartial()
{
    line_.clear();
    data_.clear();
    id_.clear();
    hasData_ = false;
}

} // namespace cardamompost
