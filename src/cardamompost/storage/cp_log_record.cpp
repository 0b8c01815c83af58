#include "cp_log_record.hpp"

#include <xxhash.h>

#include <cstring>

namespace cardamompost
{

namespace
{

constexpr std::size_t checksumEnd = offsetof(RecordHeader, checksum) + sizeof(RecordHeader::checksum);

std::uint32_t checksumOf(std::string_view record)
{
    // The length precedes the checksum; used as the seed, it is covered too.
    std::uint32_t length = 0;
    std::memcpy(&length, record.data(), sizeof(length));
    const std::string_view covered = record.substr(checksumEnd);
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(covered.data(), covered.size(), length));
}

bool isKnownType(std::uint8_t type)
{
    return type >= static_cast<std::uint8_t>(RecordType::HardState)
        && type <= static_cast<std::uint8_t>(RecordType::Forget);
}

} // namespace

void encodeRecord(const LogBatch::Record &record, std::uint64_t batch, bool endsBatch, std::string &out)
{
    RecordHeader header;
    header.length = static_cast<std::uint32_t>(record.payload.size());
    header.batch = batch;
    header.index = record.index;
    header.term = record.term;
    header.group = record.group;
    header.type = static_cast<std::uint8_t>(record.type);
    header.kind = static_cast<std::uint8_t>(record.kind);
    header.endsBatch = endsBatch ? 1 : 0;
    const std::size_t start = out.size();
    out.append(reinterpret_cast<const char *>(&header), sizeof(header));
    out.append(record.payload);
    header.checksum = checksumOf(std::string_view(out).substr(start));
    std::memcpy(out.data() + start, &header, sizeof(header));
}

std::optional<DecodedRecord> decodeRecord(std::string_view bytes, std::size_t offset)
{
    DecodedRecord decoded;
    if (bytes.size() - offset < sizeof(RecordHeader)) {
        return std::nullopt;
    }
    std::memcpy(&decoded.header, bytes.data() + offset, sizeof(RecordHeader));
    const RecordHeader &header = decoded.header;
    const std::size_t available = bytes.size() - offset - sizeof(RecordHeader);
    if (header.length > maxRecordBytes || header.length > available || !isKnownType(header.type)) {
        return std::nullopt;
    }
    const std::string_view whole = bytes.substr(offset, sizeof(RecordHeader) + header.length);
    if (checksumOf(whole) != header.checksum) {
        return std::nullopt;
    }
    decoded.record.type = static_cast<RecordType>(header.type);
    decoded.record.group = header.group;
    decoded.record.index = header.index;
    decoded.record.term = header.term;
    decoded.record.kind = static_cast<EntryKind>(header.kind);
    decoded.record.payload = std::string(whole.substr(sizeof(RecordHeader)));
    return decoded;
}

} // namespace cardamompost
