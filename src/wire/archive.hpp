#pragma once

#include "flow/packet_edit.hpp"

#include <array>
#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <type_traits>

/// @brief Messages between balancers and agents, and the encoding of these messages.
namespace cornelcross::wire {

/// @brief cereal archive that appends big-endian integers to a buffer.
class OutputArchive : public cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit OutputArchive(flow::Bytes& aBytes)
    : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(this), mBytes(aBytes)
  {
  }

  /// @brief Appends aValue in network byte order.
  template<class T>
  void writeInteger(T aValue)
  {
    const auto value = static_cast<std::uint64_t>(static_cast<std::make_unsigned_t<T>>(aValue));
    std::array<std::byte, sizeof(T)> bytes;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      bytes[i] = static_cast<std::byte>((value >> (8U * (sizeof(T) - 1 - i))) & 0xFFU);
    }
    writeBytes(bytes.data(), bytes.size());
  }

  /// @brief Appends raw bytes.
  void writeBytes(const void* aData, std::size_t aSize)
  {
    const std::size_t end = mBytes.size();
    mBytes.resize(end + aSize);
    if (aSize > 0) {
      std::memcpy(mBytes.data() + end, aData, aSize);
    }
  }

private:
  flow::Bytes& mBytes;
};

/// @brief Thrown inside a decoder if the input is truncated or a length exceeds the input.
struct DecodeException : std::exception
{
  const char* what() const noexcept override { return "truncated or oversized message"; }
};

/// @brief cereal archive that reads the output of OutputArchive. Never reads past the end of the
/// input.
class InputArchive : public cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit InputArchive(std::span<const std::byte> aBytes)
    : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this), mBytes(aBytes)
  {
  }

  /// @brief Reads an integer in network byte order. @throws DecodeException at the end of the input
  template<class T>
  void readInteger(T& aValue)
  {
    const auto bytes = consume(sizeof(T));
    std::uint64_t value = 0;
    for (const std::byte byte : bytes) {
      value = (value << 8U) | std::to_integer<std::uint64_t>(byte);
    }
    aValue = static_cast<T>(value);
  }

  /// @brief Reads raw bytes. @throws DecodeException at the end of the input
  void readBytes(void* aData, std::size_t aSize)
  {
    const auto bytes = consume(aSize);
    std::memcpy(aData, bytes.data(), aSize);
  }

  /// @brief Checks the number of elements of a container before memory is allocated. Each element
  /// takes at least one byte.
  /// @throws DecodeException if fewer than aLength bytes remain
  void checkLength(std::uint64_t aLength) const
  {
    if (aLength > mBytes.size()) {
      throw DecodeException{};
    }
  }

  /// @brief Bytes that have not been read yet.
  std::span<const std::byte> remaining() const { return mBytes; }

private:
  std::span<const std::byte> consume(std::size_t aSize)
  {
    if (aSize > mBytes.size()) {
      throw DecodeException{};
    }
    const auto consumed = mBytes.first(aSize);
    mBytes = mBytes.subspan(aSize);
    return consumed;
  }

  std::span<const std::byte> mBytes;
};

// The functions below are customization points that cereal calls for the archives above.

template<class T, std::enable_if_t<std::is_integral_v<T>, int> = 0>
void save(OutputArchive& aArchive, const T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    aArchive.writeInteger(static_cast<std::uint8_t>(aValue));
  } else {
    aArchive.writeInteger(aValue);
  }
}

template<class T, std::enable_if_t<std::is_integral_v<T>, int> = 0>
void load(InputArchive& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t value = 0;
    aArchive.readInteger(value);
    aValue = value != 0;
  } else {
    aArchive.readInteger(aValue);
  }
}

template<class T>
void save(OutputArchive& aArchive, const cereal::BinaryData<T>& aData)
{
  aArchive.writeBytes(aData.data, aData.size);
}

template<class T>
void load(InputArchive& aArchive, cereal::BinaryData<T>& aData)
{
  aArchive.readBytes(aData.data, aData.size);
}

template<class T>
void save(OutputArchive& aArchive, const cereal::SizeTag<T>& aTag)
{
  aArchive.writeInteger(static_cast<std::uint32_t>(aTag.size));
}

template<class T>
void load(InputArchive& aArchive, cereal::SizeTag<T>& aTag)
{
  std::uint32_t size = 0;
  aArchive.readInteger(size);
  aArchive.checkLength(size);
  aTag.size = size;
}

template<class T>
void serialize(OutputArchive& aArchive, cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
void serialize(InputArchive& aArchive, cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

} // namespace cornelcross::wire

CEREAL_REGISTER_ARCHIVE(cornelcross::wire::OutputArchive)
CEREAL_REGISTER_ARCHIVE(cornelcross::wire::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(cornelcross::wire::InputArchive, cornelcross::wire::OutputArchive)
