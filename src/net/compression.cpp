#include "net/compression.hpp"

#include <array>
#include <gio/gio.h>

namespace cornelcross::net {

namespace {

constexpr std::size_t kChunkBytes = 16384;
constexpr int kCompressionLevel = 6;

/// Converts aBytes with aConverter, which this function takes ownership of. Returns empty on an
/// error or if the output would exceed aMaxBytes.
std::optional<flow::Bytes> convert(GConverter* aConverter,
                                   std::span<const std::byte> aBytes,
                                   std::size_t aMaxBytes)
{
  flow::Bytes output;
  std::array<std::byte, kChunkBytes> chunk{};
  GConverterResult result = G_CONVERTER_CONVERTED;
  while (result != G_CONVERTER_FINISHED) {
    gsize read = 0;
    gsize written = 0;
    result = g_converter_convert(aConverter,
                                 aBytes.data(),
                                 aBytes.size(),
                                 chunk.data(),
                                 chunk.size(),
                                 G_CONVERTER_INPUT_AT_END,
                                 &read,
                                 &written,
                                 nullptr);
    if (result == G_CONVERTER_ERROR || output.size() + written > aMaxBytes) {
      g_object_unref(aConverter);
      return std::nullopt;
    }
    output.insert(output.end(), chunk.data(), chunk.data() + written);
    aBytes = aBytes.subspan(read);
  }
  g_object_unref(aConverter);
  return output;
}

} // namespace

flow::Bytes compress(std::span<const std::byte> aBytes)
{
  auto* converter = g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, kCompressionLevel);
  return convert(G_CONVERTER(converter), aBytes, SIZE_MAX).value_or(flow::Bytes{});
}

std::optional<flow::Bytes> decompress(std::span<const std::byte> aBytes, std::size_t aMaxBytes)
{
  auto* converter = g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  return convert(G_CONVERTER(converter), aBytes, aMaxBytes);
}

} // namespace cornelcross::net
