#ifndef CARDAMOMPOST_CP_SCHEMA_CODEC_HPP_INCLUDED
#define CARDAMOMPOST_CP_SCHEMA_CODEC_HPP_INCLUDED

#include <cardamompost/consensus/cp_log_entry.hpp>
#include <cardamompost/control/cp_control_command.hpp>
#include <cardamompost/routing/cp_backend_list.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cardamompost.capnp.h>
#include <cstring>

namespace cardamompost
{

//! Upper bound of the traversal limit of one message, in words.
inline constexpr std::uint64_t maxTraversalWords = 64U << 20U;
//! Part of the traversal limit that does not depend on the message's size, in words.
inline constexpr std::uint64_t minTraversalWords = 1024;
//! Times that a decoder may traverse a message.
inline constexpr std::uint64_t maxTraversals = 8;

inline capnp::Data::Reader toData(std::string_view bytes)
{
    return {reinterpret_cast<const capnp::byte *>(bytes.data()), bytes.size()};
}

inline std::string fromData(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

inline capnp::Text::Reader toText(const std::string &text)
{
    return {text.c_str(), text.size()};
}

inline std::string fromText(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

inline std::string toBytes(capnp::MessageBuilder &message)
{
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

//! As toBytes(), in Cap'n Proto's packed encoding.
inline std::string toPackedBytes(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

//! Options that bound what a decoder can be made to allocate by the size of the message.
//!
//! Cap'n Proto charges every list element to the traversal limit, including elements without content, of which a few
//! bytes can declare millions.
inline capnp::ReaderOptions readerOptions(std::uint64_t messageWords)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = std::min(maxTraversalWords, minTraversalWords + maxTraversals * messageWords);
    return options;
}

//! Message reader over a word-aligned copy of its bytes.
class AlignedMessage
{
public:
    explicit AlignedMessage(std::string_view bytes)
        : words_(kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word)))
        , reader_((std::memcpy(words_.begin(), bytes.data(), words_.size() * sizeof(capnp::word)), words_),
                  readerOptions(words_.size()))
    {
    }

    template<typename Root>
    typename Root::Reader root()
    {
        return reader_.getRoot<Root>();
    }

private:
    kj::Array<capnp::word> words_;
    capnp::FlatArrayMessageReader reader_;
};

void encodeEntries(const std::vector<LogEntry> &entries, capnp::List<schema::Entry>::Builder out);
[[nodiscard]] std::vector<LogEntry> decodeEntries(capnp::List<schema::Entry>::Reader in);
void encodeVm(const VmRecord &vm, schema::Vm::Builder out);
[[nodiscard]] VmRecord decodeVm(schema::Vm::Reader in);
void encodeBackendServer(const BackendServer &server, schema::BackendServer::Builder out);
[[nodiscard]] BackendServer decodeBackendServer(schema::BackendServer::Reader in);
[[nodiscard]] std::vector<std::string> decodeTexts(capnp::List<capnp::Text>::Reader in);
void encodeTexts(const std::vector<std::string> &texts, capnp::List<capnp::Text>::Builder out);

//! Converts a number on the wire to an enumerator; unknown numbers, from a newer release, become the last one.
template<typename Enum>
Enum decodeEnum(std::uint8_t number, Enum last)
{
    return number <= static_cast<std::uint8_t>(last) ? static_cast<Enum>(number) : last;
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SCHEMA_CODEC_HPP_INCLUDED
