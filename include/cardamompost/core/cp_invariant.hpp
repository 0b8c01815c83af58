#ifndef CARDAMOMPOST_CP_INVARIANT_HPP_INCLUDED
#define CARDAMOMPOST_CP_INVARIANT_HPP_INCLUDED

#include <string_view>

namespace cardamompost
{

//! Called with the text of a violated invariant.
using InvariantHandler = void (*)(std::string_view text);

//! Replaces the default handler, which prints the text and aborts; null restores it.
void setInvariantHandler(InvariantHandler handler);

//! Calls the invariant handler if the condition does not hold.
//!
//! Aborting is safer than continuing with corrupt state, which could cause wrong answers or double execution; another
//! process takes over.
void checkInvariant(bool holds, std::string_view text);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_INVARIANT_HPP_INCLUDED
