#ifndef CARDAMOMPOST_CP_BACKEND_BUCKETS_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_BUCKETS_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/routing/cp_backend_list.hpp>

#include <array>

namespace cardamompost
{

//! The servers of one bucket, as they travel and are compared.
struct BackendBucket {
    std::uint32_t number = 0;
    std::string bytes;
};

//! A list of backend servers in buckets by their ids, so that two processes find out what differs by a few numbers.
//!
//! Whoever asks for news sends the digests of what it holds, and gets just the buckets that differ. So a change among
//! thousands of servers costs some fifty of them, and a new leader whose list is that of the last one sends nothing.
//! Thread-safety: none.
class BackendBuckets
{
public:
    static constexpr std::size_t count = 64;
    //! One a bucket; an empty bucket's is 0. No digests at all stand for buckets that are all empty.
    using Digests = std::vector<std::uint32_t>;

    void setServers(const std::vector<BackendServer> &servers);
    //! The buckets that another process with such digests lacks.
    [[nodiscard]] std::vector<BackendBucket> differing(const Digests &held) const;
    //! Errors: InvalidRequest, and nothing is changed.
    Result<void> take(std::vector<BackendBucket> buckets);

    [[nodiscard]] const Digests &digests() const
    {
        return digests_;
    }
    //! All servers, by bucket and id.
    [[nodiscard]] std::vector<BackendServer> servers() const;

private:
    std::array<std::string, count> bytes_;
    Digests digests_ = Digests(count, 0);
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BACKEND_BUCKETS_HPP_INCLUDED
