#ifndef CARDAMOMPOST_CP_USAGE_LOG_HPP_INCLUDED
#define CARDAMOMPOST_CP_USAGE_LOG_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cardamompost
{

//! Requests of an account admitted since the last report.
struct AccountUsage {
    std::string account;
    std::uint32_t requests = 0;

    friend bool operator==(const AccountUsage &, const AccountUsage &) = default;
};

//! Recent usage of accounts, as reported by the leader. Thread-safety: none.
class UsageLog
{
public:
    struct Item {
        std::int64_t atMs = 0;
        std::uint32_t requests = 0;

        friend bool operator==(const Item &, const Item &) = default;
    };
    using Items = std::map<std::string, std::deque<Item>>;

    //! Adds a report and drops items older than retentionMs.
    void add(std::int64_t nowMs, const std::vector<AccountUsage> &report)
    {
        for (const AccountUsage &usage : report) {
            items_[usage.account].push_back({nowMs, usage.requests});
        }
        for (auto item = items_.begin(); item != items_.end();) {
            std::deque<Item> &accountItems = item->second;
            while (!accountItems.empty() && accountItems.front().atMs < nowMs - retentionMs) {
                accountItems.pop_front();
            }
            item = accountItems.empty() ? items_.erase(item) : std::next(item);
        }
    }
    void restore(const std::string &account, Item item)
    {
        items_[account].push_back(item);
    }
    //! By account, oldest first.
    [[nodiscard]] const Items &items() const
    {
        return items_;
    }

    // Must exceed the longest limit window.
    static constexpr std::int64_t retentionMs = 15'000;

private:
    Items items_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_USAGE_LOG_HPP_INCLUDED
