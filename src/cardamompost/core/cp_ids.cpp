#include <cardamompost/core/cp_ids.hpp>

#include <fmt/format.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <random>

namespace cardamompost
{

namespace
{

constexpr std::size_t programIdLength = 32;

std::mt19937_64 &randomEngine()
{
    thread_local std::mt19937_64 engine = [] {
        std::random_device device;
        std::seed_seq seed {device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return engine;
}

std::string hexOf(std::uint64_t high, std::uint64_t low)
{
    return fmt::format("{:016x}{:016x}", high, low);
}

} // namespace

ProgramId makeProgramId()
{
    return hexOf(randomIdentity(), randomIdentity());
}

ProgramId programIdForKey(std::string_view caller, std::string_view idempotencyKey)
{
    const std::string text = fmt::format("{}:{}:{}", caller.size(), caller, idempotencyKey);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return hexOf(hash.high64, hash.low64);
}

bool isProgramId(std::string_view text)
{
    const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == programIdLength && std::all_of(text.begin(), text.end(), isHex);
}

PartitionId partitionOf(std::string_view programId, std::uint32_t partitionCount)
{
    return static_cast<PartitionId>(stableHash(programId) % partitionCount);
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex += fmt::format("{:02x}", byte);
    }
    return hex;
}

std::uint64_t randomIdentity()
{
    return randomEngine()();
}

} // namespace cardamompost
