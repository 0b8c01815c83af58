#include "cp_frame_body.hpp"

#include <cardamompost/net/cp_frame.hpp>

#include <kj/exception.h>

namespace cardamompost
{

namespace
{

// The first byte of a frame is its encoding. Small messages are packed; for large ones packing costs more time than it
// saves.
constexpr char packedEncoding = 'p';
constexpr char flatEncoding = 'f';
constexpr std::size_t maxPackedWords = 256;

Frame decodeFrameMessage(schema::Frame::Reader in)
{
    Frame frame;
    frame.id = in.getId();
    frame.kind = decodeEnum(in.getKind(), FrameKind::Cancel);
    frame.deadlineMs = in.getDeadlineMs();
    frame.body = decodeBody(in.getBody());
    return frame;
}

} // namespace

std::string encodeFrame(const Frame &frame)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::Frame>();
    out.setId(frame.id);
    out.setKind(static_cast<std::uint8_t>(frame.kind));
    out.setDeadlineMs(frame.deadlineMs);
    encodeBody(frame.body, out.getBody());
    const bool isSmall = message.sizeInWords() <= maxPackedWords;
    return isSmall ? std::string(1, packedEncoding) + toPackedBytes(message)
                   : std::string(1, flatEncoding) + toBytes(message);
}

Result<Frame> decodeFrame(std::string_view bytes)
{
    const char tag = bytes.empty() ? '\0' : bytes.front();
    if (tag != packedEncoding && tag != flatEncoding) {
        return makeError(ErrorKind::InvalidRequest, "unknown frame encoding");
    }
    bytes.remove_prefix(1);
    try {
        if (tag == flatEncoding) {
            AlignedMessage message(bytes);
            return decodeFrameMessage(message.root<schema::Frame>());
        }
        kj::ArrayInputStream input(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader message(input, readerOptions(maxPackedWords));
        return decodeFrameMessage(message.getRoot<schema::Frame>());
    } catch (const kj::Exception &error) {
        return makeError(ErrorKind::InvalidRequest, std::string("malformed frame: ") + error.getDescription().cStr());
    }
}

} // namespace cardamompost
