#ifndef CARDAMOMPOST_CP_PAGED_LIST_HPP_INCLUDED
#define CARDAMOMPOST_CP_PAGED_LIST_HPP_INCLUDED

#include <cardamompost/edge/cp_iplatform_adapter.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>

namespace cardamompost
{

//! Reads a list of backend servers that the platform hands out in pages.
//!
//! Each page names the next one, so the time of a read grows with the number of pages. A long list is therefore read by
//! failure domain, all of them at a time. The failure domains are known from reads of the complete list, which are
//! repeated now and then to find new ones. Thread-safety: none.
class PagedList
{
public:
    //! Fetches a page of a failure domain, or of the complete list if it is empty.
    using Fetch
        = std::function<boost::asio::awaitable<Result<BackendPage>>(std::string failureDomain, std::string page)>;

    struct Content {
        //! One item per server, of its latest incarnation.
        std::vector<BackendServer> servers;
        //! Invalid items that were skipped, and the reason for the last one.
        std::size_t skipped = 0;
        std::string reason;
    };

    explicit PagedList(Fetch fetch)
        : fetch_(std::move(fetch))
    {
    }

    //! Reads the list. Errors: those of Fetch.
    boost::asio::awaitable<Result<Content>> read();

private:
    //! Reads a failure domain's pages one after the other.
    boost::asio::awaitable<Result<void>> readPages(const std::string &failureDomain, Content &content);
    boost::asio::awaitable<Result<void>> readByDomain(Content &content);
    [[nodiscard]] bool isSplit() const;

    Fetch fetch_;
    //! Of the last read of the complete list.
    std::set<std::string> failureDomains_;
    std::size_t pages_ = 0;
    unsigned readsSinceWhole_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PAGED_LIST_HPP_INCLUDED
