#ifndef CARDAMOMPOST_CP_PROMPT_SOURCE_HPP_INCLUDED
#define CARDAMOMPOST_CP_PROMPT_SOURCE_HPP_INCLUDED

#include "cp_forwarded_request.hpp"

namespace cardamompost
{

//! An engine from which another one can fetch cached parts of a prompt.
struct PromptSource {
    std::string engine;
    std::string address;
};

//! The engine from which the target of a request's next attempt is to fetch the prompt; nothing if it has to compute
//! all of it. Only the leader's choice has a source: an attempt at another server follows a failed one, which may be
//! the source's fault.
[[nodiscard]] std::optional<PromptSource> findPromptSource(const ForwardedRequest &request, const BackendServer &target,
                                                           const BackendPool &pool, TimePoint now);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PROMPT_SOURCE_HPP_INCLUDED
