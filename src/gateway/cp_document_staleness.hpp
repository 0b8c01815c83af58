#ifndef CARDAMOMPOST_CP_DOCUMENT_STALENESS_HPP_INCLUDED
#define CARDAMOMPOST_CP_DOCUMENT_STALENESS_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstdint>
#include <optional>

namespace cardamompost
{

//! Tracks for how long an entry's route document has been older than the latest known version. Thread-safety: none.
class DocumentStaleness
{
public:
    //! Records the version that the ledger's leader reported. Older ones, as from a deposed leader, are ignored.
    void recordLatestVersion(std::uint64_t version, TimePoint now)
    {
        if (version > latestVersion_) {
            latestVersion_ = version;
        }
        if (latestVersion_ > appliedVersion_ && !staleSince_) {
            staleSince_ = now;
        }
    }
    void recordAppliedVersion(std::uint64_t version)
    {
        appliedVersion_ = version;
        if (appliedVersion_ >= latestVersion_) {
            staleSince_.reset();
        }
    }

    [[nodiscard]] bool isStale() const
    {
        return staleSince_.has_value();
    }
    //! 0 while the latest known version is applied.
    [[nodiscard]] Milliseconds staleFor(TimePoint now) const
    {
        return staleSince_ ? std::chrono::duration_cast<Milliseconds>(now - *staleSince_) : Milliseconds(0);
    }
    [[nodiscard]] std::uint64_t latestVersion() const
    {
        return latestVersion_;
    }

private:
    std::uint64_t latestVersion_ = 0;
    std::uint64_t appliedVersion_ = 0;
    std::optional<TimePoint> staleSince_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DOCUMENT_STALENESS_HPP_INCLUDED
