#include "net/stream_message.hpp"

#include "flow/byte_order.hpp"
#include "net/compression.hpp"

#include <algorithm>
#include <memory>

namespace cornelcross::net {

namespace {

constexpr std::size_t kLengthBytes = 4;

struct Reading
{
  GCancellable* mCancellable = nullptr;
  std::function<void(std::optional<ReceivedMessage>)> mDone;
  flow::Bytes mBuffer;
};

struct Writing
{
  std::function<void(std::optional<std::size_t>)> mDone;
  flow::Bytes mBuffer;
};

bool finishRead(GObject* aInput, GAsyncResult* aResult, std::size_t aExpected)
{
  gsize count = 0;
  const gboolean isDone =
    g_input_stream_read_all_finish(G_INPUT_STREAM(aInput), aResult, &count, nullptr);
  return isDone == TRUE && count == aExpected;
}

void onBody(GObject* aInput, GAsyncResult* aResult, gpointer aReading)
{
  const std::unique_ptr<Reading> reading(static_cast<Reading*>(aReading));
  if (!finishRead(aInput, aResult, reading->mBuffer.size())) {
    reading->mDone(std::nullopt);
    return;
  }
  auto body = decompress(reading->mBuffer, kMaxStreamMessageBytes);
  if (!body) {
    reading->mDone(std::nullopt);
    return;
  }
  reading->mDone(ReceivedMessage{ std::move(*body), kLengthBytes + reading->mBuffer.size() });
}

void onLength(GObject* aInput, GAsyncResult* aResult, gpointer aReading)
{
  std::unique_ptr<Reading> reading(static_cast<Reading*>(aReading));
  const bool isRead = finishRead(aInput, aResult, kLengthBytes);
  const std::size_t length = isRead ? flow::read32(reading->mBuffer, 0) : 0;
  if (length == 0 || length > kMaxStreamMessageBytes) {
    reading->mDone(std::nullopt);
    return;
  }
  reading->mBuffer.resize(length);
  Reading* body = reading.release();
  g_input_stream_read_all_async(G_INPUT_STREAM(aInput),
                                body->mBuffer.data(),
                                length,
                                G_PRIORITY_DEFAULT,
                                body->mCancellable,
                                &onBody,
                                body);
}

void onWritten(GObject* aOutput, GAsyncResult* aResult, gpointer aWriting)
{
  const std::unique_ptr<Writing> writing(static_cast<Writing*>(aWriting));
  gsize count = 0;
  const gboolean isDone =
    g_output_stream_write_all_finish(G_OUTPUT_STREAM(aOutput), aResult, &count, nullptr);
  writing->mDone(isDone == TRUE ? std::optional<std::size_t>(count) : std::nullopt);
}

} // namespace

void readMessage(GInputStream* aInput,
                 GCancellable* aCancellable,
                 std::function<void(std::optional<ReceivedMessage>)> aDone)
{
  auto* reading = new Reading{ aCancellable, std::move(aDone), flow::Bytes(kLengthBytes) };
  g_input_stream_read_all_async(aInput,
                                reading->mBuffer.data(),
                                kLengthBytes,
                                G_PRIORITY_DEFAULT,
                                aCancellable,
                                &onLength,
                                reading);
}

void writeMessage(GOutputStream* aOutput,
                  GCancellable* aCancellable,
                  const flow::Bytes& aMessage,
                  std::function<void(std::optional<std::size_t>)> aDone)
{
  const flow::Bytes body = compress(aMessage);
  auto* writing = new Writing{ std::move(aDone), flow::Bytes(kLengthBytes + body.size()) };
  flow::write32(writing->mBuffer, 0, static_cast<std::uint32_t>(body.size()));
  std::copy(body.begin(), body.end(), writing->mBuffer.begin() + kLengthBytes);
  g_output_stream_write_all_async(aOutput,
                                  writing->mBuffer.data(),
                                  writing->mBuffer.size(),
                                  G_PRIORITY_DEFAULT,
                                  aCancellable,
                                  &onWritten,
                                  writing);
}

} // namespace cornelcross::net
