#ifndef CARDAMOMPOST_CP_CALLER_LIMITS_HPP_INCLUDED
#define CARDAMOMPOST_CP_CALLER_LIMITS_HPP_INCLUDED

#include "cp_partition_table.hpp"
#include "cp_shutdown_notice.hpp"

#include <cardamompost/limits/cp_token_bucket.hpp>

namespace cardamompost
{

//! Grants rate-limit tokens to VMs, so that a caller's rate holds across all of them.
//!
//! Runs on the owner of the partition that the caller's name maps to. A new owner starts with an empty bucket, since
//! tokens granted by the previous owner may still be unused. Thread-safe.
class LimitGrantor
{
public:
    LimitGrantor(ControlReplica &replica, PartitionTable &table);

    //! Errors: NotOwner; NotFound for an undeclared caller.
    Result<LimitReply> grant(const LimitRequest &request);
    //! Returns the partition whose owner grants a caller's tokens.
    [[nodiscard]] PartitionId partitionOf(const std::string &caller) const;

private:
    struct CallerBucket {
        TokenBucket bucket;
        Epoch epoch = 0;
    };

    ControlReplica &replica_;
    PartitionTable &table_;
    std::mutex mutex_;
    std::map<std::string, CallerBucket> buckets_;
};

//! Admission control of a VM: enforces each caller's rate, with tokens from the grantor, and its concurrency limit.
//! Thread-safe.
class CallerAdmission
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        PeerHub &hub;
        LimitGrantor &grantor;
        const ShutdownNotice &shutdown;
        MetricRegistry &metrics;
    };

    explicit CallerAdmission(Parts parts);

    //! Admits a call, waiting briefly for tokens if needed. Errors: Forbidden for an undeclared caller; OverLimit with
    //! a retry delay.
    boost::asio::awaitable<Result<void>> admit(std::string caller);
    //! Must be called once for each admitted call when it has completed.
    void release(const std::string &caller);

private:
    struct Allowance {
        double tokens = 0;
        TimePoint expires {};
        int active = 0;
    };

    [[nodiscard]] bool tryTakeToken(const std::string &caller, TimePoint now);
    boost::asio::awaitable<Result<LimitReply>> requestTokens(LimitRequest request);
    [[nodiscard]] Error overLimitError(const std::string &caller, std::string text, Milliseconds retryAfter);

    Parts parts_;
    std::mutex mutex_;
    std::map<std::string, Allowance> allowances_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CALLER_LIMITS_HPP_INCLUDED
