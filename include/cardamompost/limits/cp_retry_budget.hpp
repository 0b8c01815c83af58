#ifndef CARDAMOMPOST_CP_RETRY_BUDGET_HPP_INCLUDED
#define CARDAMOMPOST_CP_RETRY_BUDGET_HPP_INCLUDED

namespace cardamompost
{

//! Limits retries to a share of first attempts, so that retries do not multiply the load on failing backend servers.
//!
//! Source: token-bucket retry throttling of gRPC (proposal A6).
//! Thread-safety: none.
class RetryBudget
{
public:
    //! \param retriesPerAttempt  tokens added per first attempt, 0 to 1
    //! \param burst              maximum number of tokens, at least 1
    RetryBudget(double retriesPerAttempt, double burst);

    void onFirstAttempt();

    [[nodiscard]] bool mayRetry() const;
    //! Takes one token. Returns false if there is none; the caller then returns the error of the attempt.
    [[nodiscard]] bool tryRetry();

private:
    double retriesPerAttempt_;
    double burst_;
    double tokens_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RETRY_BUDGET_HPP_INCLUDED
