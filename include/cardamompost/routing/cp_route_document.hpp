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

//! Whether a route's requests may be retried.
enum class RouteKind {
    //! Idempotent: may be executed more than once.
    Safe,
    //! May be executed at most once.
    Unsafe,
    //! Answered by an event stream; may be executed at most once unless the route is resumable.
    Streaming,
};

inline constexpr std::array routeKindNames {
    Named {RouteKind::Safe, "safe"},
    Named {RouteKind::Unsafe, "unsafe"},
    Named {RouteKind::Streaming, "streaming"},
};

//! One target of a weighted split of a route's requests.
struct RouteShare {
    std::string service;
    std::uint32_t weight = 1;

    friend bool operator==(const RouteShare &, const RouteShare &) = default;
};

//! How requests to a host and path prefix are routed.
struct Route {
    std::string name;
    std::string host;
    //! Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::Unsafe;
    //! Longest time until the caller gets an answer.
    Milliseconds timeout {0};
    //! Latency within which an answer earns its full value.
    Milliseconds targetLatency {0};
    //! Priority; 0 is the highest.
    unsigned rank = 0;
    std::vector<RouteShare> shares;
    //! Maximum number of backend servers that one request is sent to.
    unsigned maxAttempts = 1;
    //! Turns of this route are stored and prepended to the input of the next turn.
    bool keepsHistory = false;
    Milliseconds retention {0};
    bool isSticky = false;
    //! An interrupted stream may be resumed on another backend server.
    bool isResumable = false;
    //! Requests need no access key.
    bool allowsAnonymous = false;
};

//! Properties of a model engine as configured in the document.
struct EngineProperties {
    unsigned slots = 1;
    std::uint64_t cacheTokens = 0;
    //! Tokens counted for each event of a stream.
    unsigned tokensPerEvent = 1;
    //! An engine can fetch cached parts of a prompt from another engine of the service.
    bool canFetchPrompts = false;
};

//! A group of interchangeable backend servers.
struct BackendService {
    std::string name;
    unsigned maxConnections = 64;
    bool isEngine = false;
    EngineProperties engine;
};

//! Size limits and timeouts of incoming requests.
struct CallerBounds {
    std::uint32_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = 4U << 20U;
    Milliseconds headerTimeout {3000};
    Milliseconds idleTimeout {15'000};
};

//! The operators' routing configuration. The highest version is in force.
struct RouteDocument {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<BackendService> services;
    CallerBounds bounds;
    //! Requests need the key of an account. False if the document does not configure accounts.
    bool hasAccounts = false;
    std::vector<Account> accounts;
};

//! Errors: InvalidConfiguration, naming the first invalid route or account.
[[nodiscard]] Result<void> checkRouteDocument(const RouteDocument &document);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ROUTE_DOCUMENT_HPP_INCLUDED
