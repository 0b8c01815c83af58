#include <cardamompost/net/cp_http_message.hpp>

#include <charconv>

namespace cardamompost
{

namespace
{

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char value = 0;
        const bool hasDigits = text[i] == '%' && i + 2 < text.size();
        if (hasDigits
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
            decoded += static_cast<char>(value);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace

void splitTarget(std::string_view target, HttpRequest &request)
{
    const auto questionMark = target.find('?');
    request.path = percentDecode(target.substr(0, questionMark));
    std::string_view query
        = questionMark == std::string_view::npos ? std::string_view {} : target.substr(questionMark + 1);
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view item = query.substr(0, end);
        const auto equals = item.find('=');
        const std::string_view value = equals == std::string_view::npos ? std::string_view {} : item.substr(equals + 1);
        request.query.emplace(percentDecode(item.substr(0, equals)), percentDecode(value));
        query = end == std::string_view::npos ? std::string_view {} : query.substr(end + 1);
    }
}

std::vector<std::string_view> splitPath(std::string_view path)
{
    std::vector<std::string_view> parts;
    while (!path.empty()) {
        const auto slash = path.find('/');
        if (slash != 0) {
            parts.push_back(path.substr(0, slash));
        }
        path = slash == std::string_view::npos ? std::string_view {} : path.substr(slash + 1);
    }
    return parts;
}

} // namespace cardamompost
