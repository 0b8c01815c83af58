#ifndef CARDAMOMPOST_CP_TOKEN_BUCKET_HPP_INCLUDED
#define CARDAMOMPOST_CP_TOKEN_BUCKET_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

namespace cardamompost
{

//! Token bucket. Thread-safety: none.
class TokenBucket
{
public:
    //! \param perSecond  tokens added per second
    //! \param burst      capacity; the bucket starts full
    TokenBucket(double perSecond, double burst, TimePoint now);

    //! Takes the tokens if all are available; otherwise takes none and returns false.
    [[nodiscard]] bool tryTake(double tokens, TimePoint now);
    //! Time until that many tokens are available.
    [[nodiscard]] Milliseconds timeUntil(double tokens, TimePoint now) const;
    void setRate(double perSecond, double burst, TimePoint now);

private:
    void refill(TimePoint now);

    double perSecond_;
    double burst_;
    double tokens_;
    TimePoint refilled_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TOKEN_BUCKET_HPP_INCLUDED
