#ifndef CARDAMOMPOST_CP_LEDGER_SCHEMA_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_SCHEMA_HPP_INCLUDED

#include "cp_schema_codec.hpp"

#include <cardamompost/ledger/cp_ledger_message.hpp>

namespace cardamompost
{

//! Writes a group view into any message that has its fields.
template<typename Builder>
void encodeGroupView(const GroupView &in, Builder out)
{
    out.setLeader(toText(in.leader));
    out.setTerm(in.term);
    out.setDocumentVersion(in.documentVersion);
    encodeTexts(in.members, out.initMembers(static_cast<unsigned>(in.members.size())));
}

template<typename Reader>
[[nodiscard]] GroupView decodeGroupView(Reader in)
{
    return {fromText(in.getLeader()), in.getTerm(), in.getDocumentVersion(), decodeTexts(in.getMembers())};
}

void encodeServerVersion(const ServerVersion &in, schema::ServerVersion::Builder out);
[[nodiscard]] ServerVersion decodeServerVersion(schema::ServerVersion::Reader in);
void encodeStreamVersion(const StreamVersion &in, schema::StreamVersion::Builder out);
[[nodiscard]] StreamVersion decodeStreamVersion(schema::StreamVersion::Reader in);
void encodeBackendEnd(const BackendEnd &in, schema::BackendEnd::Builder out);
[[nodiscard]] BackendEnd decodeBackendEnd(schema::BackendEnd::Reader in);
void encodeSuspectRequest(const SuspectRequest &in, schema::SuspectRequest::Builder out);
[[nodiscard]] SuspectRequest decodeSuspectRequest(schema::SuspectRequest::Reader in);
void encodeTurnBegin(const TurnBegin &in, schema::TurnBegin::Builder out);
[[nodiscard]] TurnBegin decodeTurnBegin(schema::TurnBegin::Reader in);

void encodeTurnFinish(const TurnFinish &in, schema::TurnFinish::Builder out);
[[nodiscard]] TurnFinish decodeTurnFinish(schema::TurnFinish::Reader in);

void encodeUpdateRequest(const UpdateRequest &in, schema::NewsRequest::Builder out);
[[nodiscard]] UpdateRequest decodeUpdateRequest(schema::NewsRequest::Reader in);
void encodeUpdateReply(const UpdateReply &in, schema::NewsReply::Builder out);
[[nodiscard]] UpdateReply decodeUpdateReply(schema::NewsReply::Reader in);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_SCHEMA_HPP_INCLUDED
