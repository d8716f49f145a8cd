#pragma once

#include "flow/packet_edit.hpp"

#include <functional>
#include <gio/gio.h>
#include <optional>

/// @brief Length-prefixed, compressed messages over a byte stream.
namespace cornelcross::net {

/// @brief Largest message, in bytes, before and after compression.
inline constexpr std::size_t kMaxStreamMessageBytes = 16 * 1024 * 1024;

/// @brief A message that was read.
struct ReceivedMessage
{
  flow::Bytes mBody;
  std::size_t mWireBytes = 0; ///< bytes that it took in the stream
};

/// @brief Reads one message and calls aDone with it; empty on any error or on cancellation.
/// aInput must live until then.
void readMessage(GInputStream* aInput,
                 GCancellable* aCancellable,
                 std::function<void(std::optional<ReceivedMessage>)> aDone);

/// @brief Writes one message and calls aDone with the bytes on the wire; empty on any error.
/// aOutput must live until then.
void writeMessage(GOutputStream* aOutput,
                  GCancellable* aCancellable,
                  const flow::Bytes& aMessage,
                  std::function<void(std::optional<std::size_t>)> aDone);

} // namespace cornelcross::net
