#ifndef CARDAMOMPOST_CP_DOCUMENT_STALENESS_HPP_INCLUDED
#define CARDAMOMPOST_CP_DOCUMENT_STALENESS_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstdint>
#include <optional>

namespace cardamompost
{

//! Since when an entry knows that there is a newer document than the one it goes by. Thread-safety: none.
class DocumentStaleness
{
public:
    //! \param newest  as the ledger's leader says
    void noteNewest(std::uint64_t newest, TimePoint now)
    {
        if (newest > newest_) {
            newest_ = newest;
        }
        if (newest_ > inForce_ && !since_) {
            since_ = now;
        }
    }
    void noteInForce(std::uint64_t version)
    {
        inForce_ = version;
        if (inForce_ >= newest_) {
            since_.reset();
        }
    }

    [[nodiscard]] bool isStale() const
    {
        return since_.has_value();
    }
    //! 0 while the newest one that was heard of is in force.
    [[nodiscard]] Milliseconds staleFor(TimePoint now) const
    {
        return since_ ? std::chrono::duration_cast<Milliseconds>(now - *since_) : Milliseconds(0);
    }
    [[nodiscard]] std::uint64_t newest() const
    {
        return newest_;
    }

private:
    std::uint64_t newest_ = 0;
    std::uint64_t inForce_ = 0;
    std::optional<TimePoint> since_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DOCUMENT_STALENESS_HPP_INCLUDED
