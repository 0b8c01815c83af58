#ifndef CARDAMOMPOST_TESTS_CP_CUT_ANSWER_CLUSTER_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_CUT_ANSWER_CLUSTER_HPP_INCLUDED

#include "support/cp_cut_answers.hpp"
#include "support/cp_gateway_cluster.hpp"
#include "support/cp_raw_caller.hpp"

namespace cardamompost::tests
{

//! A gateway whose backend servers answer each request as a test asks for.
class CutAnswerCluster
{
public:
    explicit CutAnswerCluster(std::size_t serverCount = 1)
    {
        std::vector<ListedServer> list;
        for (std::size_t i = 0; i < serverCount; ++i) {
            servers_.push_back(std::make_unique<ScriptedServer>(
                [this](const ScriptedServer::Request &request) { return answer(request); }));
            ListedServer listed;
            listed.server = i;
            listed.port = servers_.back()->port();
            list.push_back(listed);
        }
        cluster.platform.setList(std::move(list));
        cluster.putDocument(3);
        entry = cluster.addEntry(cluster.seeds());
    }

    //! Sets the answers to a request, one for each attempt; the last one is repeated.
    void script(const std::string &id, std::vector<ScriptedResponse> responses)
    {
        const std::lock_guard lock(mutex_);
        responses_[id] = std::move(responses);
    }
    //! The Last-Event-Id of each attempt of a request.
    std::vector<std::string> attempts(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return attempts_[id];
    }
    static HttpHeaders headers(const std::string &id, bool isTurn)
    {
        HttpHeaders headers = GatewayCluster::headers(id);
        if (isTurn) {
            headers["Program"] = "p-" + id;
            headers["Token-Usage"] = "100,50";
            headers["Token-Budget"] = "1000";
        }
        return headers;
    }
    ReceivedResponse request(const std::string &id, const std::string &path, bool isTurn = false)
    {
        return RawCaller(entry).call("POST", path, headers(id, isTurn), "in");
    }

    GatewayCluster cluster;
    Address entry;

private:
    ScriptedResponse answer(const ScriptedServer::Request &request)
    {
        const std::lock_guard lock(mutex_);
        const std::string id(request["Request-Id"]);
        std::vector<std::string> &attempts = attempts_[id];
        attempts.emplace_back(request["Last-Event-Id"]);
        const std::vector<ScriptedResponse> &responses = responses_[id];
        if (responses.empty()) {
            return {"HTTP/1.1 500 Unscripted\r\nContent-Length: 0\r\n\r\n", ResponseEnd::KeepOpen, {}};
        }
        return responses[std::min(attempts.size(), responses.size()) - 1];
    }

    std::mutex mutex_;
    std::map<std::string, std::vector<ScriptedResponse>> responses_;
    std::map<std::string, std::vector<std::string>> attempts_;
    std::vector<std::unique_ptr<ScriptedServer>> servers_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_CUT_ANSWER_CLUSTER_HPP_INCLUDED
