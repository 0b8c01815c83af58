#ifndef CARDAMOMPOST_CP_ROUTE_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_ROUTE_TABLE_HPP_INCLUDED

#include <cardamompost/accounts/cp_account_table.hpp>
#include <cardamompost/routing/cp_route_document.hpp>

#include <map>

namespace cardamompost
{

//! A route document indexed for lookup. Immutable, so that each request uses one version throughout.
class RouteTable
{
public:
    explicit RouteTable(RouteDocument document);

    [[nodiscard]] std::uint64_t version() const
    {
        return document_.version;
    }
    [[nodiscard]] const CallerBounds &bounds() const
    {
        return document_.bounds;
    }
    //! The route of the host with the longest prefix that matches the path; null if there is none.
    //! \param host  as in the request, with or without a port; compared case-insensitively
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] bool hasRoute(std::string_view name) const;
    //! Requests need the key of an account, unless their route allows anonymous ones.
    [[nodiscard]] bool hasAccounts() const
    {
        return document_.hasAccounts;
    }
    //! Null for a key of no account.
    [[nodiscard]] const Account *account(const KeyHash &key) const
    {
        return accounts_.find(key);
    }
    //! Null for a service that is not in the document.
    [[nodiscard]] const BackendService *service(std::string_view name) const;
    //! Picks a service by weighted split; deterministic for a given hash.
    //! \param hash  uniformly distributed, such as a hash of the session's name
    [[nodiscard]] static const std::string &pickService(const Route &route, std::uint64_t hash);

private:
    RouteDocument document_;
    std::map<std::string, std::vector<const Route *>, std::less<>> byHost_;
    std::map<std::string_view, const BackendService *> services_;
    AccountTable accounts_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ROUTE_TABLE_HPP_INCLUDED
