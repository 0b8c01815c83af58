#include <cardamompost/control/cp_control_state.hpp>
#include <cardamompost/net/cp_frame.hpp>
#include <cardamompost/program/cp_journal_record.hpp>
#include <cardamompost/routing/cp_backend_buckets.hpp>
#include <cardamompost/routing/cp_document_buckets.hpp>

namespace
{

// Buckets of news travel inside frames, as bytes of their own.
template<typename Buckets>
void takeBucket(std::string_view bytes)
{
    Buckets buckets;
    if (buckets.take({{0, std::string(bytes)}})) {
        static_cast<void>(buckets.content());
    }
}

} // namespace

// What comes from another process, and what logs hold, is read without a crash, and written again if it was read.
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
    takeBucket<BackendBuckets>(bytes);
    takeBucket<DocumentBuckets>(bytes);
    return 0;
}
