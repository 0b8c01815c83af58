#ifndef CARDAMOMPOST_CP_MEMBERSHIP_HPP_INCLUDED
#define CARDAMOMPOST_CP_MEMBERSHIP_HPP_INCLUDED

#include <cardamompost/core/cp_ids.hpp>

#include <optional>
#include <set>

namespace cardamompost
{

//! Voters and learners of a consensus group; learners receive the log and do not vote.
struct Membership {
    std::set<VmName> voters;
    std::set<VmName> learners;

    //! Smallest number of voters that can commit an entry.
    [[nodiscard]] std::size_t quorum() const
    {
        return voters.size() / 2 + 1;
    }

    //! True when the voters differ by at most one, so that every old quorum intersects every new one.
    [[nodiscard]] bool isSingleStepFrom(const Membership &previous) const;

    //! Serializes the membership for the payload of an entry.
    [[nodiscard]] std::string encode() const;
    //! Parses the result of encode(); empty for malformed text.
    [[nodiscard]] static std::optional<Membership> decode(const std::string &text);

    friend bool operator==(const Membership &, const Membership &) = default;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_MEMBERSHIP_HPP_INCLUDED
