#ifndef CARDAMOMPOST_CP_HTTP_MESSAGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_HTTP_MESSAGE_HPP_INCLUDED

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamompost
{

//! Case-insensitive ordering of header names.
struct HeaderNameLess {
    using is_transparent = void;

    bool operator()(std::string_view left, std::string_view right) const
    {
        const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
        return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(),
                                            [&](char a, char b) { return lower(a) < lower(b); });
    }
};

using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

//! A request with its whole body.
struct HttpRequest {
    std::string method;
    //! Without the query, percent-decoded.
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    HttpHeaders headers;
    std::string body;

    //! Empty when the header is absent.
    [[nodiscard]] std::string_view header(std::string_view name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string_view {} : std::string_view(found->second);
    }
};

//! A response with its whole body.
struct HttpResponse {
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string_view {} : std::string_view(found->second);
    }
};

//! Splits "path?query" and percent-decodes both parts.
void splitTarget(std::string_view target, HttpRequest &request);

//! Splits a path into its non-empty segments.
[[nodiscard]] std::vector<std::string_view> splitPath(std::string_view path);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_HTTP_MESSAGE_HPP_INCLUDED
