#include <cardamompost/config/cp_configuration.hpp>
#include <cardamompost/config/cp_section_document.hpp>
#include <cardamompost/config/cp_settings.hpp>

#include <cstdlib>

// Parses arbitrary text as a configuration and as settings. A valid document must survive a round trip through its
// delta.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cardamompost;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const bool hasErrors = !Configuration::parse(text).errors.empty();
    static_cast<void>(parseSettings(text));
    if (hasErrors) {
        return 0;
    }
    const SectionDocument document = SectionDocument::fromText(text);
    SectionDocument rebuilt;
    rebuilt.apply(rebuilt.deltaTo(document));
    if (rebuilt.text() != document.text() || !Configuration::parse(rebuilt.text()).errors.empty()) {
        std::abort();
    }
    return 0;
}
