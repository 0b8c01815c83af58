#include <cardamompost/consensus/cp_membership.hpp>

#include <algorithm>
#include <sstream>

namespace cardamompost
{

namespace
{

constexpr std::string_view voterTag = "voter";
constexpr std::string_view learnerTag = "learner";

std::size_t countMissing(const std::set<VmName> &from, const std::set<VmName> &in)
{
    return static_cast<std::size_t>(
        std::count_if(from.begin(), from.end(), [&](const VmName &name) { return !in.contains(name); }));
}

} // namespace

bool Membership::isSingleStepFrom(const Membership &previous) const
{
    return countMissing(voters, previous.voters) + countMissing(previous.voters, voters) <= 1;
}

std::string Membership::encode() const
{
    std::string text;
    for (const VmName &name : voters) {
        text += std::string(voterTag) + " " + name + "\n";
    }
    for (const VmName &name : learners) {
        text += std::string(learnerTag) + " " + name + "\n";
    }
    return text;
}

std::optional<Membership> Membership::decode(const std::string &text)
{
    Membership membership;
    std::istringstream input(text);
    std::string tag;
    VmName name;
    while (input >> tag) {
        if (!(input >> name) || (tag != voterTag && tag != learnerTag)) {
            return std::nullopt;
        }
        (tag == voterTag ? membership.voters : membership.learners).insert(name);
    }
    return membership;
}

} // namespace cardamompost
