#ifndef CARDAMOMPOST_CP_LOG_RECORD_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOG_RECORD_HPP_INCLUDED

#include <cardamompost/storage/cp_log_batch.hpp>

namespace cardamompost
{

struct SegmentHeader {
    std::uint64_t magic = 0;
    std::uint32_t version = 0;
    std::uint32_t reserved = 0;
};

//! Header of a record on disk, in little-endian byte order; the payload follows.
struct RecordHeader {
    std::uint32_t length = 0;
    //! Covers the rest of the header and the payload, seeded with the length.
    std::uint32_t checksum = 0;
    std::uint64_t batch = 0;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint32_t group = 0;
    std::uint8_t type = 0;
    std::uint8_t kind = 0;
    std::uint8_t endsBatch = 0;
    std::uint8_t reserved = 0;
};

static_assert(sizeof(SegmentHeader) == 16);
static_assert(sizeof(RecordHeader) == 40);

//! "MCPLOG1" in ASCII, read as a little-endian number.
inline constexpr std::uint64_t segmentMagic = 0x31474F4C50434DULL;
inline constexpr std::uint32_t segmentVersion = 1;
inline constexpr std::uint32_t maxRecordBytes = 256U << 20U;

//! Appends an encoded record to a buffer.
void encodeRecord(const LogBatch::Record &record, std::uint64_t batch, bool endsBatch, std::string &out);

struct DecodedRecord {
    RecordHeader header;
    LogBatch::Record record;
};

//! Decodes the record at an offset; empty when its length, type or checksum is invalid.
[[nodiscard]] std::optional<DecodedRecord> decodeRecord(std::string_view bytes, std::size_t offset);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOG_RECORD_HPP_INCLUDED
