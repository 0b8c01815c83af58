#include "support/cp_endless_server.hpp"
#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <fstream>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! What becomes of a request whose server sends without end.
enum class Expected {
    //! The server did not run it.
    NotRun,
    //! The response is not valid.
    Failed,
    //! The caller gets what arrives, until the response is cut off.
    CutOff,
    //! Cut off, or failed if it was held back.
    NotWhole,
};

struct EndlessCase {
    std::string name;
    EndlessResponse response;
    Expected expected;
    bool isForStreams = true;
    bool isForPlain = true;
};

const std::string signedHead = "Server-Signature: sig\r\n";
const std::string eventsType = "Content-Type: text/event-stream\r\n";
constexpr std::size_t chunkBytes = 4096;

std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

//! A head, and a body of one framing that repeats some bytes.
EndlessResponse framed(const std::string &framing, const std::string &status, const std::string &headers,
                       const std::string &start, const std::string &repeated)
{
    const std::string head = "HTTP/1.1 " + status + "\r\n" + headers;
    if (framing == "chunks") {
        return {head + "Transfer-Encoding: chunked\r\n\r\n" + (start.empty() ? "" : chunk(start)), chunk(repeated)};
    }
    return {head + (framing == "length" ? "Content-Length: 1000000000000000\r\n" : "") + "\r\n" + start, repeated};
}

std::vector<EndlessCase> endlessCases()
{
    const std::string filler(chunkBytes, 'x');
    std::vector<EndlessCase> cases {
        {"a header that never ends", {"HTTP/1.1 200 OK\r\nX-Long: ", filler}, Expected::Failed},
        {"headers without end", {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"}, Expected::Failed},
        {"a status line that never ends", {"HTTP/1.1 200 ", filler}, Expected::Failed},
        {"no response at all", {{}, filler}, Expected::Failed},
        {"interim responses without end", {{}, "HTTP/1.1 100 Continue\r\n\r\n"}, Expected::Failed},
        {"an extension of a chunk that never ends",
         {"HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n5;", filler},
         Expected::NotWhole},
        {"a trailer that never ends",
         {"HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", filler},
         Expected::NotWhole},
    };
    for (const std::string framing : {"length", "chunks", "connection"}) {
        const auto add = [&](const std::string &name, const std::string &status, const std::string &headers,
                             const std::string &start, const std::string &repeated, Expected expected,
                             bool isForStreams, bool isForPlain) {
            cases.push_back({name + ", " + framing, framed(framing, status, headers, start, repeated), expected,
                             isForStreams, isForPlain});
        };
        add("not executed", "503 Service Unavailable", "Not-Executed: 1\r\n", {}, filler, Expected::NotRun, true, true);
        add("misdirected", "421 Misdirected Request", {}, {}, filler, Expected::NotRun, true, true);
        add("a body", "200 OK", signedHead, {}, filler, Expected::CutOff, false, true);
        add("a failure", "500 Internal Server Error", signedHead, {}, filler, Expected::CutOff, true, true);
        add("a response to another request", "200 OK", signedHead + "Request-Id: other\r\n", {}, filler,
            Expected::Failed, true, true);
        add("an event that never ends", "200 OK", signedHead + eventsType, "id: 1\ndata: ", filler, Expected::Failed,
            true, false);
        add("an id that never ends", "200 OK", signedHead + eventsType, "id: ", filler, Expected::Failed, true, false);
        add("an event of lines without end", "200 OK", signedHead + eventsType, "id: 1\n", "data: x\n",
            Expected::Failed, true, false);
        add("an event that never ends, behind one that does", "200 OK", signedHead + eventsType,
            "id: 1\ndata: a\n\nid: 2\ndata: ", filler, Expected::NotWhole, true, false);
        add("events without end", "200 OK", signedHead + eventsType, {}, "id: 1\ndata: y\n\n", Expected::NotWhole, true,
            false);
        add("comments without end", "200 OK", signedHead + eventsType, {}, ": z\n", Expected::NotWhole, true, false);
    }
    return cases;
}

//! What a caller has received when its connection ended or its response was complete.
struct EndlessAnswer {
    unsigned status = 0;
    HttpHeaders headers;
    bool isComplete = false;
    bool hasWaitedInVain = false;
};

//! Reads a response to its end without keeping the body.
EndlessAnswer ask(const Address &entry, const std::string &target, const HttpHeaders &headers)
{
    namespace http = boost::beast::http;
    constexpr int patienceS = 8;
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address(entry.host), entry.port}, error);
    const timeval limit {patienceS, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    http::request<http::string_body> request(http::verb::post, target, 11);
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.body() = "in";
    request.prepare_payload();
    http::write(socket, request, error);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    http::read_header(socket, buffer, parser, error);
    EndlessAnswer answer;
    if (!error) {
        answer.status = parser.get().result_int();
        for (const auto &field : parser.get()) {
            answer.headers.insert_or_assign(std::string(field.name_string()), std::string(field.value()));
        }
    }
    std::array<char, 1U << 16U> space {};
    while (!error && !parser.is_done()) {
        parser.get().body() = {space.data(), space.size(), true};
        http::read_some(socket, buffer, parser, error);
        error = error == http::error::need_buffer ? boost::system::error_code() : error;
    }
    answer.isComplete = !error && parser.is_done();
    answer.hasWaitedInVain = error == boost::asio::error::would_block || error == boost::asio::error::try_again;
    return answer;
}

//! Peak of the process's resident memory since resetPeakMemory().
std::size_t peakMemoryBytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) << 10U;
        }
    }
    return 0;
}

void resetPeakMemory()
{
    std::ofstream("/proc/self/clear_refs") << "5";
}

//! A gateway with one server, which sends without end if a request's path names a case.
class EndlessCluster
{
public:
    explicit EndlessCluster(Milliseconds pause = Milliseconds(0))
        : server_([this](const EndlessServer::Request &request) { return respond(request); }, pause)
    {
        ListedServer listed;
        listed.port = server_.port();
        cluster.platform.setList({listed});
        cluster.putDocument(3);
        entry = cluster.addEntry(cluster.seeds());
    }

    static HttpHeaders headers(const std::string &id, const std::string &route)
    {
        HttpHeaders all = GatewayCluster::headers(id);
        all["Deadline-Milliseconds"] = "1500";
        if (route == "plans" || route == "budgeted") {
            all["Program"] = "p-" + id;
            all["Token-Usage"] = "100,50";
            all["Token-Budget"] = "1000";
        }
        return all;
    }
    static std::string target(const std::string &route, std::size_t number)
    {
        return "/" + (route == "budgeted" ? std::string("drafts") : route) + "/endless-" + std::to_string(number);
    }
    //! Sends a request to a case's server. \returns what is wrong with the answer; empty if nothing is
    [[nodiscard]] std::string check(std::size_t number, const std::string &route) const
    {
        const Expected expected = cases[number].expected;
        const EndlessAnswer answer
            = ask(entry, target(route, number), headers(route + "-" + std::to_string(number), route));
        if (answer.hasWaitedInVain) {
            return "no end";
        }
        if (answer.isComplete && answer.status < 300U) {
            return "looks complete";
        }
        const bool isRefusal = answer.isComplete && answer.status == 503U && answer.headers.contains("Retry-After");
        if (expected == Expected::NotRun && !isRefusal) {
            return "not refused: " + std::to_string(answer.status);
        }
        const bool isOwnFailure = answer.isComplete && (answer.status == 502U || answer.status == 504U)
            && !answer.headers.contains("Server-Signature");
        if (expected == Expected::Failed && !isOwnFailure) {
            return "no failure: " + std::to_string(answer.status);
        }
        return {};
    }
    [[nodiscard]] bool servesOthers(const std::string &id)
    {
        const EndlessAnswer answer = ask(entry, "/tools/1", GatewayCluster::headers(id));
        return answer.isComplete && answer.status == 200U;
    }

    const std::vector<EndlessCase> cases = endlessCases();

private:
    [[nodiscard]] EndlessResponse respond(const EndlessServer::Request &request) const
    {
        const std::string path(request.target());
        const std::string word = "/endless-";
        const std::size_t at = path.find(word);
        if (at != std::string::npos) {
            return cases.at(std::stoul(path.substr(at + word.size()))).response;
        }
        return {"HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 2\r\n\r\nok", {}};
    }

    EndlessServer server_;

public:
    GatewayCluster cluster;
    Address entry;

    [[nodiscard]] const EndlessServer &server() const
    {
        return server_;
    }
};

constexpr std::size_t nodeMemoryBytes = 128U << 20U;

} // namespace

BOOST_AUTO_TEST_SUITE(platform_endless_answers)

// Guards against a caller that waits, memory that grows and connections that stay open while a server sends without
// end.
BOOST_AUTO_TEST_CASE(each_request_whose_server_sends_without_end_gets_its_final_answer)
{
    for (const Milliseconds pause : {Milliseconds(0), Milliseconds(8)}) {
        EndlessCluster test(pause);
        resetPeakMemory();
        const std::size_t before = peakMemoryBytes();
        for (std::size_t number = 0; number < test.cases.size(); ++number) {
            std::vector<std::pair<std::string, std::future<std::string>>> callers;
            for (const std::string route : {"plans", "drafts", "budgeted", "resumes", "tools", "reads"}) {
                const bool isPlain = route == "tools" || route == "reads";
                if (isPlain ? test.cases[number].isForPlain : test.cases[number].isForStreams) {
                    callers.emplace_back(route, std::async(std::launch::async, [&test, number, route] {
                                             return test.check(number, route);
                                         }));
                }
            }
            BOOST_TEST(test.servesOthers("other-" + std::to_string(number)));
            BOOST_TEST_CONTEXT(test.cases[number].name)
            {
                for (auto &[route, wrong] : callers) {
                    BOOST_TEST_CONTEXT(route)
                    {
                        BOOST_TEST(wrong.get() == "");
                    }
                }
                BOOST_TEST(GatewayCluster::eventually([&] { return test.server().openResponses() == 0; }));
            }
        }
        BOOST_TEST(peakMemoryBytes() - before < nodeMemoryBytes);
    }
}

// Guards against an entry over its memory although each response that it holds back is within the limits.
BOOST_AUTO_TEST_CASE(many_responses_at_once_that_are_held_back_stay_within_the_memory_of_a_node)
{
    constexpr int callerCount = 150;
    EndlessCluster test(Milliseconds(100));
    for (const std::string name : {"an event that never ends, chunks", "a body, connection"}) {
        const auto found = std::find_if(test.cases.begin(), test.cases.end(),
                                        [&](const EndlessCase &endless) { return endless.name == name; });
        BOOST_REQUIRE(found != test.cases.end());
        const auto number = static_cast<std::size_t>(found - test.cases.begin());
        resetPeakMemory();
        const std::size_t before = peakMemoryBytes();
        std::vector<std::future<std::string>> callers;
        for (int i = 0; i < callerCount; ++i) {
            const std::string route = found->isForStreams ? "drafts" : "reads";
            callers.push_back(
                std::async(std::launch::async, [&test, number, route] { return test.check(number, route); }));
        }
        for (std::future<std::string> &caller : callers) {
            BOOST_TEST(caller.get() == "");
        }
        BOOST_TEST(peakMemoryBytes() - before < nodeMemoryBytes);
    }
}

BOOST_AUTO_TEST_SUITE_END()
