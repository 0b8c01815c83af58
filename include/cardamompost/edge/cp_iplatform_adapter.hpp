#ifndef CARDAMOMPOST_CP_IPLATFORM_ADAPTER_HPP_INCLUDED
#define CARDAMOMPOST_CP_IPLATFORM_ADAPTER_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/routing/cp_backend_list.hpp>
#include <cardamompost/routing/cp_route_document.hpp>

#include <string>
#include <vector>

namespace cardamompost
{

//! The header names of one way of speaking with callers and backend servers, in lower case.
struct HeaderNames {
    std::string requestId;
    std::string program;
    std::string session;
    std::string programTimeLeft;
    std::string tokenBudget;
    std::string tokenUsage;
    std::string previousTurn;
    std::string deadline;
    std::string expectedInstance;
    std::string notExecuted;
    std::string serverLoad;
    std::string lastEventId;
    std::string priority;
    //! A caller's access key; never passed on.
    std::string accessKey;
    //! Name of the client account, for backend servers.
    std::string account;
    //! The same for requests that concern the same object.
    std::string affinity;
    //! What only the system may set; a caller's own are dropped.
    std::vector<std::string> reserved;
};

//! The paths that the system itself answers.
struct PathNames {
    std::string readiness;
    std::string directory;
    std::string document;
    //! Followed by a VM's name.
    std::string retire;
};

//! One page of the list of backend servers.
struct BackendPage {
    std::vector<BackendServer> servers;
    //! Empty on the last page.
    std::string next;
    //! Entries that name no server, and why the last of them does not.
    std::size_t skipped = 0;
    std::string reason;
};

//! Names and formats of the platform that the system runs on. It translates and decides nothing.
class IPlatformAdapter
{
public:
    virtual ~IPlatformAdapter() = default;

    [[nodiscard]] virtual const HeaderNames &headers() const = 0;
    [[nodiscard]] virtual const PathNames &paths() const = 0;

    //! Errors: InvalidConfiguration when it can't be read in full.
    [[nodiscard]] virtual Result<RouteDocument> readDocument(std::string_view bytes) const = 0;
    //! \param page  as BackendPage::next gave it; empty for the first one
    [[nodiscard]] virtual std::string backendsTarget(const std::string &page) const = 0;
    //! Errors: BackendFailed when it can't be read.
    [[nodiscard]] virtual Result<BackendPage> readBackends(std::string_view bytes) const = 0;
    [[nodiscard]] virtual std::string writeDirectory(const std::vector<std::string> &addresses,
                                                     Milliseconds lifetime) const = 0;
    [[nodiscard]] virtual std::string writeRetirement(bool isCompleted) const = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_IPLATFORM_ADAPTER_HPP_INCLUDED
