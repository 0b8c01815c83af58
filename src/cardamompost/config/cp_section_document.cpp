#include <cardamompost/config/cp_ini_document.hpp>
#include <cardamompost/config/cp_section_document.hpp>

#include <algorithm>
#include <map>

namespace cardamompost
{

namespace
{

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
    }
    return lines;
}

void addSection(std::string &out, const SectionDocument::Section &section, char mark)
{
    for (const std::string_view line : splitLines(section.text)) {
        out += mark;
        out += ' ';
        out += line;
        out += '\n';
    }
}

} // namespace

SectionDocument SectionDocument::fromText(std::string_view text)
{
    SectionDocument document;
    const IniDocument parsed = IniDocument::parse(text);
    for (const IniSection &section : parsed.sections()) {
        document.sections_.push_back({section.header(), section.text});
    }
    return document;
}

std::string SectionDocument::text() const
{
    std::string text;
    for (const Section &section : sections_) {
        text += section.text;
    }
    return text;
}

std::vector<SectionDocument::Section>::iterator SectionDocument::find(std::string_view header)
{
    return std::find_if(sections_.begin(), sections_.end(),
                        [&](const Section &section) { return section.header == header; });
}

const SectionDocument::Section *SectionDocument::findSection(std::string_view header) const
{
    const auto found = std::find_if(sections_.begin(), sections_.end(),
                                    [&](const Section &section) { return section.header == header; });
    return found == sections_.end() ? nullptr : &*found;
}

DocumentDelta SectionDocument::deltaTo(const SectionDocument &other) const
{
    std::map<std::string_view, std::string_view> own;
    for (const Section &section : sections_) {
        own.emplace(section.header, section.text);
    }
    DocumentDelta delta;
    std::string previous;
    for (const Section &section : other.sections_) {
        const auto found = own.find(section.header);
        if (found == own.end() || found->second != section.text) {
            delta.upserts.push_back({section.header, previous, section.text});
        }
        if (found != own.end()) {
            own.erase(found);
        }
        previous = section.header;
    }
    for (const auto &[header, text] : own) {
        delta.removals.emplace_back(header);
    }
    return delta;
}

void SectionDocument::apply(const DocumentDelta &delta)
{
    for (const std::string &header : delta.removals) {
        const auto found = find(header);
        if (found != sections_.end()) {
            sections_.erase(found);
        }
    }
    for (const SectionChange &change : delta.upserts) {
        const auto found = find(change.header);
        if (found != sections_.end()) {
            found->text = change.text;
            continue;
        }
        const auto before = find(change.after);
        const auto place = before == sections_.end() ? sections_.begin() : std::next(before);
        sections_.insert(change.after.empty() ? sections_.begin() : place, {change.header, change.text});
    }
}

std::string lineDifference(std::string_view before, std::string_view after)
{
    const SectionDocument old = SectionDocument::fromText(before);
    SectionDocument next = SectionDocument::fromText(after);
    const DocumentDelta delta = old.deltaTo(next);
    std::string out;
    for (const SectionDocument::Section &section : old.sections()) {
        const auto isChanged = [&](const SectionChange &change) { return change.header == section.header; };
        const bool isRemoved
            = std::find(delta.removals.begin(), delta.removals.end(), section.header) != delta.removals.end();
        if (isRemoved || std::any_of(delta.upserts.begin(), delta.upserts.end(), isChanged)) {
            addSection(out, section, '-');
        }
    }
    for (const SectionChange &change : delta.upserts) {
        addSection(out, {change.header, change.text}, '+');
    }
    return out;
}

} // namespace cardamompost
