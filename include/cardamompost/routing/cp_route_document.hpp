#ifndef CARDAMOMPOST_CP_ROUTE_DOCUMENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_ROUTE_DOCUMENT_HPP_INCLUDED

#include <cardamompost/accounts/cp_account.hpp>
#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_name_table.hpp>
#include <cardamompost/core/cp_time.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace cardamompost
{

//! What may be repeated of a route's requests.
enum class RouteKind {
    //! Idempotent: may run more than once.
    Safe,
    //! May run once at most.
    Unsafe,
    //! Answered by an event stream; may run once at most, unless the route is resumable.
    Streaming,
};

inline constexpr std::array routeKindNames {
    Named {RouteKind::Safe, "safe"},
    Named {RouteKind::Unsafe, "unsafe"},
    Named {RouteKind::Streaming, "streaming"},
};

//! A service that gets a part of a route's requests.
struct RouteShare {
    std::string service;
    std::uint32_t weight = 1;

    friend bool operator==(const RouteShare &, const RouteShare &) = default;
};

//! Where requests to a host and path prefix go, and how.
struct Route {
    std::string name;
    std::string host;
    //! Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::Unsafe;
    //! Longest time that a caller may be kept waiting.
    Milliseconds timeout {0};
    //! Time within which an answer is worth its full credit.
    Milliseconds targetLatency {0};
    //! 0 goes first.
    unsigned rank = 0;
    std::vector<RouteShare> shares;
    //! Most backend servers that one request may be sent to.
    unsigned maxAttempts = 1;
    //! The system keeps the turns of this route and puts them before the next one's input.
    bool keepsHistory = false;
    Milliseconds retention {0};
    bool isSticky = false;
    //! A stream that broke off may go on at another backend server.
    bool isResumable = false;
    //! Requests need no access key.
    bool allowsAnonymous = false;
};

//! What a model engine says of itself in the document.
struct EngineFacts {
    unsigned slots = 1;
    std::uint64_t cacheTokens = 0;
    //! Tokens that each event of a stream counts for.
    unsigned tokensPerEvent = 1;
};

//! A group of backend servers that can answer the same requests.
struct BackendService {
    std::string name;
    unsigned maxConnections = 64;
    bool isEngine = false;
    EngineFacts engine;
};

//! Bounds on what a caller may send, and on how slowly.
struct CallerBounds {
    std::uint32_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = 4U << 20U;
    Milliseconds headerTimeout {3000};
    Milliseconds idleTimeout {15'000};
};

//! All that operators configure for routing, under one version. The highest version is in force.
struct RouteDocument {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<BackendService> services;
    CallerBounds bounds;
    //! Requests need the key of an account. False for a document that says nothing of accounts.
    bool hasAccounts = false;
    std::vector<Account> accounts;
};

//! Errors: InvalidConfiguration naming the first faulty route or account.
[[nodiscard]] Result<void> checkRouteDocument(const RouteDocument &document);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ROUTE_DOCUMENT_HPP_INCLUDED
