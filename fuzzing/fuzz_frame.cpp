#include <cardamompost/control/cp_control_state.hpp>
#include <cardamompost/net/cp_frame.hpp>
#include <cardamompost/program/cp_journal_record.hpp>
#include <cardamompost/routing/cp_backend_buckets.hpp>
#include <cardamompost/routing/cp_document_buckets.hpp>

namespace
{

// Buckets are encoded as byte strings inside frames.
template<typename Buckets>
void decodeBucket(std::string_view bytes)
{
    Buckets buckets;
    if (buckets.replaceBuckets({{0, std::string(bytes)}})) {
        static_cast<void>(buckets.content());
    }
}

} // namespace

// Decodes frames, control commands, control state, journal records and buckets. A decoded frame is encoded again; a
// decoded command is applied to a state, which is then encoded.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cardamompost;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const Result<Frame> frame = decodeFrame(bytes);
    if (frame) {
        static_cast<void>(encodeFrame(frame.value()));
    }
    const Result<ControlCommand> command = decodeCommand(bytes);
    if (command) {
        ControlState state(16);
        state.apply(command.value());
        static_cast<void>(state.encode());
    }
    static_cast<void>(decodeRecord(bytes));
    static_cast<void>(ControlState::decode(bytes));
    decodeBucket<BackendBuckets>(bytes);
    decodeBucket<DocumentBuckets>(bytes);
    return 0;
}
