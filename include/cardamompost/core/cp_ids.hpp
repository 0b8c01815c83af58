#ifndef CARDAMOMPOST_CP_IDS_HPP_INCLUDED
#define CARDAMOMPOST_CP_IDS_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompost
{

//! Name of a VM from its settings, unique in the system.
using VmName = std::string;

//! 32 lower-case hexadecimal digits.
using ProgramId = std::string;

//! Number of a partition of programs, from 0.
using PartitionId = std::uint32_t;

//! Ownership generation of a partition; the control log assigns each owner a higher one.
using Epoch = std::uint64_t;

//! Position in a replicated log, from 1.
using LogIndex = std::uint64_t;

//! Consensus term, or the epoch of the writer of a journal.
using Term = std::uint64_t;

//! A random program id.
[[nodiscard]] ProgramId makeProgramId();

//! The program id derived from a caller's idempotency key, so that a retried creation finds the existing program.
[[nodiscard]] ProgramId programIdForKey(std::string_view caller, std::string_view idempotencyKey);

//! True for 32 lower-case hexadecimal digits.
[[nodiscard]] bool isProgramId(std::string_view text);

//! The partition of a program. Must not change between releases, as journals are stored by partition.
[[nodiscard]] PartitionId partitionOf(std::string_view programId, std::uint32_t partitionCount);

//! A 64-bit hash that is the same in every process and release.
[[nodiscard]] std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

//! SHA-256 in lower-case hexadecimal, as bearer keys are stored.
[[nodiscard]] std::string sha256Hex(std::string_view text);

//! A random number for identifiers; not suitable for secrets.
[[nodiscard]] std::uint64_t randomIdentity();

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_IDS_HPP_INCLUDED
