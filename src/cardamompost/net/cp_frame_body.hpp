#ifndef CARDAMOMPOST_CP_FRAME_BODY_HPP_INCLUDED
#define CARDAMOMPOST_CP_FRAME_BODY_HPP_INCLUDED

#include "cp_schema_codec.hpp"

#include <cardamompost/net/cp_frame.hpp>

namespace cardamompost
{

void encodeBody(const FrameBody &body, schema::Frame::Body::Builder out);

//! \throws kj::Exception for a malformed message
[[nodiscard]] FrameBody decodeBody(schema::Frame::Body::Reader in);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FRAME_BODY_HPP_INCLUDED
