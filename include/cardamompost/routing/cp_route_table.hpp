#ifndef CARDAMOMPOST_CP_ROUTE_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_ROUTE_TABLE_HPP_INCLUDED

#include <cardamompost/accounts/cp_account_table.hpp>
#include <cardamompost/routing/cp_route_document.hpp>

#include <map>

namespace cardamompost
{

//! A route document prepared for look-ups. Immutable, so that requests under way keep the one they began with.
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
    //! The route of the host with the longest prefix that begins the path; null when there is none.
    //! \param host  as in the request, with or without a port, in any case
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] bool hasRoute(std::string_view name) const;
    //! Requests need the key of an account, unless their route says otherwise.
    [[nodiscard]] bool hasAccounts() const
    {
        return document_.hasAccounts;
    }
    //! Null for a key that no account holds.
    [[nodiscard]] const Account *account(const KeyHash &key) const
    {
        return accounts_.find(key);
    }
    //! Null for a service that the document does not name.
    [[nodiscard]] const BackendService *service(std::string_view name) const;
    //! The service of a request; the same point always gives the same one.
    //! \param point  a hash that spreads evenly, such as one of the session's name
    [[nodiscard]] static const std::string &pickService(const Route &route, std::uint64_t point);

private:
    RouteDocument document_;
    std::map<std::string, std::vector<const Route *>, std::less<>> byHost_;
    std::map<std::string_view, const BackendService *> services_;
    AccountTable accounts_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ROUTE_TABLE_HPP_INCLUDED
