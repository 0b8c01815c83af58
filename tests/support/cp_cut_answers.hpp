#ifndef CARDAMOMPOST_TESTS_CP_CUT_ANSWERS_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_CUT_ANSWERS_HPP_INCLUDED

#include "support/cp_scripted_server.hpp"

#include <array>
#include <string>
#include <vector>

namespace cardamompost::tests
{

enum class AnswerFraming {
    Length,
    Chunks,
    //! Neither: the body ends with its connection.
    Connection,
};

enum class CutKind {
    //! The server closes its connection.
    Close,
    Reset,
    //! The server ends the message as its framing says: a length of the bytes sent, or a last chunk.
    Framed,
};

//! An event stream, and what of it a server sends.
struct CutAnswer {
    std::vector<std::string> events;
    AnswerFraming framing = AnswerFraming::Connection;
    CutKind cut = CutKind::Close;
    //! Number of bytes of the body that are sent.
    std::size_t sentBytes = 0;
    //! False for a body of another type, which has no events.
    bool isEventStream = true;
    unsigned status = 200;
    //! Pauses after each of these bytes of the response.
    std::set<std::size_t> pauses {};

    [[nodiscard]] std::string body() const
    {
        std::string text;
        for (const std::string &event : events) {
            text += event;
        }
        return text;
    }
    [[nodiscard]] std::string sent() const
    {
        return body().substr(0, sentBytes);
    }
    //! True if the sent bytes end between two events, or before the first.
    [[nodiscard]] bool endsBetweenEvents() const
    {
        std::size_t end = 0;
        bool isEnd = sentBytes == 0;
        for (const std::string &event : events) {
            end += event.size();
            isEnd = isEnd || end == sentBytes;
        }
        return isEnd;
    }
    //! True if a caller may take the answer for complete.
    [[nodiscard]] bool isWhole() const
    {
        const bool isAll = sentBytes == body().size();
        const bool mayEndHere = !isEventStream || endsBetweenEvents();
        if (cut == CutKind::Framed) {
            return mayEndHere;
        }
        switch (framing) {
        case AnswerFraming::Length:
            return isAll && mayEndHere;
        case AnswerFraming::Chunks:
            return false;
        case AnswerFraming::Connection:
            break;
        }
        // A stream that brings nothing and ends with its connection gives no sign that it has begun.
        return cut == CutKind::Close && mayEndHere && (sentBytes != 0 || !isEventStream);
    }

    [[nodiscard]] std::string description() const
    {
        return "framing " + std::to_string(static_cast<int>(framing)) + ", cut " + std::to_string(static_cast<int>(cut))
            + " after " + std::to_string(sentBytes) + " bytes of " + body();
    }
    [[nodiscard]] ScriptedResponse response(const std::string &id) const
    {
        std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Some\r\nRequest-Id: " + id
            + "\r\nServer-Signature: sig-" + id
            + "\r\nContent-Type: " + (isEventStream ? "text/event-stream" : "application/json") + "\r\n";
        const std::size_t declaredBytes = cut == CutKind::Framed ? sentBytes : body().size();
        if (framing == AnswerFraming::Length) {
            bytes += "Content-Length: " + std::to_string(declaredBytes) + "\r\n\r\n" + sent();
        } else if (framing == AnswerFraming::Connection) {
            bytes += "\r\n" + sent();
        } else {
            bytes += "Transfer-Encoding: chunked\r\n\r\n" + chunks();
        }
        const std::array ends {ResponseEnd::Close, ResponseEnd::Reset, ResponseEnd::KeepOpen};
        return {bytes, ends.at(static_cast<std::size_t>(cut)), pauses};
    }

private:
    [[nodiscard]] std::string chunks() const
    {
        constexpr std::size_t chunkBytes = 9;
        const std::string text = sent();
        std::string bytes;
        for (std::size_t begin = 0; begin < text.size(); begin += chunkBytes) {
            const std::string chunk = text.substr(begin, chunkBytes);
            bytes += std::to_string(chunk.size()) + "\r\n" + chunk + "\r\n";
        }
        return cut == CutKind::Framed ? bytes + "0\r\n\r\n" : bytes;
    }
};

inline std::vector<std::string> twoEvents(const std::string &lineEnd)
{
    return {"id: 1" + lineEnd + "data: a" + lineEnd + lineEnd, "id: 2" + lineEnd + "data: b" + lineEnd + lineEnd};
}

//! All answers with two events that end at one of their bytes.
inline std::vector<CutAnswer> allCuts()
{
    std::vector<CutAnswer> answers;
    for (const std::string lineEnd : {"\n", "\r\n"}) {
        for (const AnswerFraming framing : {AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Connection}) {
            for (const CutKind cut : {CutKind::Close, CutKind::Reset, CutKind::Framed}) {
                const bool isPossible = framing != AnswerFraming::Connection || cut != CutKind::Framed;
                CutAnswer answer {twoEvents(lineEnd), framing, cut};
                const std::size_t size = answer.body().size();
                for (answer.sentBytes = 0; isPossible && answer.sentBytes <= size; ++answer.sentBytes) {
                    answers.push_back(answer);
                }
            }
        }
    }
    return answers;
}

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_CUT_ANSWERS_HPP_INCLUDED
