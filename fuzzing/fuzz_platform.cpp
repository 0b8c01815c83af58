#include "platform/cp_platform_adapter.hpp"

#include <cstdint>
#include <cstdlib>

using namespace cardamompost;

// Parses platform server lists, route documents and servers' reports. Accepted servers must have an id, a service and
// at least one slot.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const PlatformAdapter adapter;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (const auto page = adapter.readBackends(bytes)) {
        for (const BackendServer &server : page.value().servers) {
            if (server.id.empty() || server.service.empty() || server.slots == 0) {
                std::abort();
            }
        }
    }
    if (const auto document = adapter.readDocument(bytes)) {
        static_cast<void>(checkRouteDocument(document.value()));
    }
    static_cast<void>(adapter.readReportedIncarnation(bytes));
    return 0;
}
