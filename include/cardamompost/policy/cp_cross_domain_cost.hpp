#ifndef CARDAMOMPOST_CP_CROSS_DOMAIN_COST_HPP_INCLUDED
#define CARDAMOMPOST_CP_CROSS_DOMAIN_COST_HPP_INCLUDED

#include <algorithm>
#include <cstddef>

namespace cardamompost
{

//! Cost of an engine in another failure domain, in turns, if the entry's own domain has few engines and if it has many.
inline constexpr double minCrossDomainCost = 0.75;
inline constexpr double maxCrossDomainCost = 2;
//! Engines of a failure domain per turn of the cost.
inline constexpr double enginesPerCostTurn = 6;

//! Load difference, in turns, at which a turn leaves the failure domain of its entry. The loads of a domain with many
//! engines even out within it.
[[nodiscard]] constexpr double crossDomainCost(std::size_t enginesInDomain)
{
    return std::clamp(static_cast<double>(enginesInDomain) / enginesPerCostTurn, minCrossDomainCost,
                      maxCrossDomainCost);
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CROSS_DOMAIN_COST_HPP_INCLUDED
