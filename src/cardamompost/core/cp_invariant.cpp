#include <cardamompost/core/cp_invariant.hpp>

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace cardamompost
{

namespace
{

void printAndAbort(std::string_view text)
{
    std::fprintf(stderr, "invariant violated: %.*s\n", static_cast<int>(text.size()), text.data());
    std::abort();
}

std::atomic<InvariantHandler> currentHandler {&printAndAbort};

} // namespace

void setInvariantHandler(InvariantHandler handler)
{
    currentHandler.store(handler == nullptr ? &printAndAbort : handler);
}

void checkInvariant(bool holds, std::string_view text)
{
    if (!holds) {
        currentHandler.load()(text);
    }
}

} // namespace cardamompost
