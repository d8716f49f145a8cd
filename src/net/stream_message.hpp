#pragma once

#include "flow/packet_edit.hpp"

#include <functional>
#include <gio/gio.h>
#include <optional>

/// @brief Length-prefixed, compressed messages over a byte stream.
namespace cornelcross::net {

/// @brief Largest message, in bytes, both compressed and uncompressed.
inline constexpr std::size_t kMaxStreamMessageBytes = 16 * 1024 * 1024;

/// @brief Message read from a stream.
struct ReceivedMessage
{
  flow::Bytes mBody;
  std::size_t mWireBytes = 0; ///< compressed size with the length prefix
};

/// @brief Reads one message and calls aDone with the message, or with empty on an error or
/// cancellation. aInput must live until that call.
void readMessage(GInputStream* aInput,
                 GCancellable* aCancellable,
                 std::function<void(std::optional<ReceivedMessage>)> aDone);

/// @brief Writes one message and calls aDone with its size on the wire in bytes, or with empty on
/// an error. aOutput must live until that call.
void writeMessage(GOutputStream* aOutput,
                  GCancellable* aCancellable,
                  const flow::Bytes& aMessage,
                  std::function<void(std::optional<std::size_t>)> aDone);

} // namespace cornelcross::net
