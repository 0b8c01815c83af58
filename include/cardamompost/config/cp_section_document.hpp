#ifndef CARDAMOMPOST_CP_SECTION_DOCUMENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_SECTION_DOCUMENT_HPP_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace cardamompost
{

//! A section that a delta adds or replaces.
struct SectionChange {
    std::string header;
    //! Header of the preceding section, for inserting a new one; empty for the first position.
    std::string after;
    std::string text;

    friend bool operator==(const SectionChange &, const SectionChange &) = default;
};

//! The sections to change in one document to get another.
struct DocumentDelta {
    std::vector<SectionChange> upserts;
    std::vector<std::string> removals;

    [[nodiscard]] bool isEmpty() const
    {
        return upserts.empty() && removals.empty();
    }
};

//! A document as a list of sections, so that a small change gives a small delta.
//!
//! Comments belong to the section below them. The order of sections that both documents have is kept.
class SectionDocument
{
public:
    struct Section {
        std::string header;
        std::string text;
    };

    [[nodiscard]] static SectionDocument fromText(std::string_view text);
    [[nodiscard]] std::string text() const;
    //! The delta that apply() needs to turn this document into the other.
    [[nodiscard]] DocumentDelta deltaTo(const SectionDocument &other) const;
    void apply(const DocumentDelta &delta);

    [[nodiscard]] const std::vector<Section> &sections() const
    {
        return sections_;
    }

private:
    [[nodiscard]] std::vector<Section>::iterator find(std::string_view header);
    [[nodiscard]] const Section *findSection(std::string_view header) const;

    std::vector<Section> sections_;
};

//! The changed sections of two documents, with '-' before each old line and '+' before each new one.
[[nodiscard]] std::string lineDifference(std::string_view before, std::string_view after);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SECTION_DOCUMENT_HPP_INCLUDED
