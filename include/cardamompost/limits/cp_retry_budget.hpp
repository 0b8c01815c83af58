#ifndef CARDAMOMPOST_CP_RETRY_BUDGET_HPP_INCLUDED
#define CARDAMOMPOST_CP_RETRY_BUDGET_HPP_INCLUDED

namespace cardamompost
{

//! Limits retries to a share of first attempts, so that a failing backend server is not sent
//! several times its usual load.
//!
//! Source: the token-bucket form of retry throttling published for gRPC (proposal A6).
//! Thread-safety: none; the owner of the call queue holds its lock.
class RetryBudget
{
public:
    //! \param retriesPerAttempt  tokens earned by one first attempt, 0 to 1
    //! \param burst              most tokens held, at least 1
    RetryBudget(double retriesPerAttempt, double burst);

    //! Counts a first attempt.
    void onFirstAttempt();

    [[nodiscard]] bool mayRetry() const;
    //! Takes one token if there is one. False: the caller answers with the attempt's own error.
    [[nodiscard]] bool tryRetry();

private:
    double retriesPerAttempt_;
    double burst_;
    double tokens_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RETRY_BUDGET_HPP_INCLUDED
