#include "flow/packet_format.hpp"

namespace cornelcross::flow {

PacketFormat ipv4Format()
{
  PacketFormat format;
  format.mParse = &TcpPacket::parse;
  format.mMakeReset = &makeReset;
  format.mMakeEmptySegment = &makeEmptySegment;
  format.mStripSynPayload = &stripSynPayload;
  format.mClampMss = &clampMss;
  format.mSetSequence = &setSequence;
  return format;
}

} // namespace cornelcross::flow
