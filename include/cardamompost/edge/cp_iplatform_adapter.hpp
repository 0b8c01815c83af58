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

//! Names of the HTTP headers exchanged with callers and backend servers; compared without regard to case.
struct HeaderNames {
    std::string requestId;
    std::string program;
    std::string session;
    std::string programTimeLeft;
    std::string tokenBudget;
    std::string tokenUsage;
    //! The caller's estimate of the generated tokens.
    std::string expectedOutput;
    std::string previousTurn;
    std::string deadline;
    std::string expectedInstance;
    std::string notExecuted;
    std::string serverLoad;
    std::string lastEventId;
    //! Id of the request that received the first event of the stream that a caller resumes.
    std::string resumes;
    std::string priority;
    //! A caller's access key; never forwarded.
    std::string accessKey;
    //! Name of the client account, sent to backend servers.
    std::string account;
    //! Equal for requests that concern the same object.
    std::string affinity;
    //! Address of an engine from which another one fetches cached parts of a prompt.
    std::string promptSource;
    //! Headers that only the system may set; those of callers are removed.
    std::vector<std::string> reserved;
};

//! Paths of the requests that the system answers itself.
struct PathNames {
    std::string readiness;
    std::string directory;
    std::string document;
    //! Prefix of the path to retire a VM, followed by the VM's name.
    std::string retire;
};

//! One page of the list of backend servers.
struct BackendPage {
    std::vector<BackendServer> servers;
    //! Empty on the last page.
    std::string next;
    //! Number of invalid list items that were skipped, and the reason for the last one.
    std::size_t skipped = 0;
    std::string reason;
};

//! Names and data formats of the platform that the system runs on; only translates, without any policy.
class IPlatformAdapter
{
public:
    virtual ~IPlatformAdapter() = default;

    [[nodiscard]] virtual const HeaderNames &headers() const = 0;
    [[nodiscard]] virtual const PathNames &paths() const = 0;

    //! Errors: InvalidConfiguration if the document is not completely valid.
    [[nodiscard]] virtual Result<RouteDocument> readDocument(std::string_view bytes) const = 0;
    //! \param failureDomain  of the servers to list; empty for all
    //! \param page           BackendPage::next of the previous page; empty for the first one
    [[nodiscard]] virtual std::string backendsTarget(const std::string &failureDomain,
                                                     const std::string &page) const = 0;
    //! Errors: BackendFailed for a malformed page.
    [[nodiscard]] virtual Result<BackendPage> readBackends(std::string_view bytes) const = 0;
    //! Target of the request for what a backend server reports about itself.
    [[nodiscard]] virtual std::string reportTarget() const = 0;
    //! The incarnation in a backend server's report. Errors: BackendFailed if the report is malformed or has none.
    [[nodiscard]] virtual Result<std::uint64_t> readReportedIncarnation(std::string_view bytes) const = 0;
    [[nodiscard]] virtual std::string writeDirectory(const std::vector<std::string> &addresses,
                                                     Milliseconds lifetime) const = 0;
    [[nodiscard]] virtual std::string writeRetirement(bool isCompleted) const = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_IPLATFORM_ADAPTER_HPP_INCLUDED
