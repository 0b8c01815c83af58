#ifndef CARDAMOMPOST_CP_STANDIN_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_STANDIN_SERVER_HPP_INCLUDED

#include "cp_engine_model.hpp"

#include <cardamompost/net/cp_http_server.hpp>

#include <boost/json/object.hpp>

#include <mutex>

namespace cardamompost::standin
{

//! A model engine on a port of its own.
class EngineServer
{
public:
    EngineServer(boost::asio::any_io_executor executor, EngineSettings settings, std::uint64_t seed);

    Result<void> listen(const Address &address)
    {
        return server_.listen(address);
    }

private:
    boost::asio::awaitable<void> handle(HttpRequest &request, IHttpResponder &responder);
    boost::asio::awaitable<void> complete(const HttpRequest &request, IHttpResponder &responder);
    boost::asio::awaitable<void> sendStream(std::string id, std::size_t after, IHttpResponder &responder);
    boost::asio::awaitable<void> sendComplete(std::string id, IHttpResponder &responder);
    [[nodiscard]] HttpResponse answer(const HttpRequest &request);
    [[nodiscard]] HttpResponse answerCache(const HttpRequest &request, const boost::json::object &body);
    [[nodiscard]] boost::json::object loadBody();
    [[nodiscard]] boost::json::object statsBody();
    void setFaults(const boost::json::object &body);

    std::mutex mutex_;
    EngineModel model_;
    HttpServer server_;
};

//! A plain service that counts how often it executed each request.
class ServiceServer
{
public:
    explicit ServiceServer(boost::asio::any_io_executor executor);

    Result<void> listen(const Address &address)
    {
        return server_.listen(address);
    }

private:
    boost::asio::awaitable<void> handle(HttpRequest &request, IHttpResponder &responder);

    std::mutex mutex_;
    std::map<std::string, std::uint64_t> executions_;
    Milliseconds delay_ {0};
    //! Executes, and then breaks the connection off instead of answering.
    int answersToDrop_ = 0;
    HttpServer server_;
};

} // namespace cardamompost::standin

#endif // CARDAMOMPOST_CP_STANDIN_SERVER_HPP_INCLUDED
