#ifndef CARDAMOMPOST_CP_CONTROL_TIMES_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTROL_TIMES_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

namespace cardamompost
{

//! How often a VM renews its lease.
inline constexpr Milliseconds leaseRenewalInterval {300};

//! Duration of a lease at its holder, counted from when the renewal was sent.
inline constexpr Milliseconds leaseDuration {1200};

//! Time without a renewal after which the leader marks a VM as lost, counted from the last renewal's arrival. The
//! margin over leaseDuration tolerates clock drift.
inline constexpr Milliseconds leaseExpiry {1500};

//! Longest time that a VM authorizes callers without contact with the leader. Longer than a leader election, shorter
//! than the time within which a new configuration must take effect on every VM.
inline constexpr Milliseconds maxConfigurationStaleness {5000};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTROL_TIMES_HPP_INCLUDED
