#include "net/stream_message.hpp"

#include "flow/byte_order.hpp"
#include "net/compression.hpp"

#include <algorithm>
#include <memory>

namespace cornelcross::net {

namespace {

constexpr std::size_t kLengthPrefixBytes = 4;

struct ReadOperation
{
  GCancellable* mCancellable = nullptr;
  std::function<void(std::optional<ReceivedMessage>)> mDone;
  flow::Bytes mBuffer;
};

struct WriteOperation
{
  std::function<void(std::optional<std::size_t>)> mDone;
  flow::Bytes mBuffer;
};

bool finishRead(GObject* aInput, GAsyncResult* aResult, std::size_t aExpected)
{
  gsize count = 0;
  const gboolean isFinished =
    g_input_stream_read_all_finish(G_INPUT_STREAM(aInput), aResult, &count, nullptr);
  return isFinished == TRUE && count == aExpected;
}

void onBody(GObject* aInput, GAsyncResult* aResult, gpointer aOperation)
{
  const std::unique_ptr<ReadOperation> operation(static_cast<ReadOperation*>(aOperation));
  if (!finishRead(aInput, aResult, operation->mBuffer.size())) {
    operation->mDone(std::nullopt);
    return;
  }
  auto body = decompress(operation->mBuffer, kMaxStreamMessageBytes);
  if (!body) {
    operation->mDone(std::nullopt);
    return;
  }
  operation->mDone(
    ReceivedMessage{ std::move(*body), kLengthPrefixBytes + operation->mBuffer.size() });
}

void onLength(GObject* aInput, GAsyncResult* aResult, gpointer aOperation)
{
  std::unique_ptr<ReadOperation> operation(static_cast<ReadOperation*>(aOperation));
  const bool isRead = finishRead(aInput, aResult, kLengthPrefixBytes);
  const std::size_t length = isRead ? flow::read32(operation->mBuffer, 0) : 0;
  if (length == 0 || length > kMaxStreamMessageBytes) {
    operation->mDone(std::nullopt);
    return;
  }
  operation->mBuffer.resize(length);
  ReadOperation* bodyRead = operation.release();
  g_input_stream_read_all_async(G_INPUT_STREAM(aInput),
                                bodyRead->mBuffer.data(),
                                length,
                                G_PRIORITY_DEFAULT,
                                bodyRead->mCancellable,
                                &onBody,
                                bodyRead);
}

void onWritten(GObject* aOutput, GAsyncResult* aResult, gpointer aOperation)
{
  const std::unique_ptr<WriteOperation> operation(static_cast<WriteOperation*>(aOperation));
  gsize count = 0;
  const gboolean isFinished =
    g_output_stream_write_all_finish(G_OUTPUT_STREAM(aOutput), aResult, &count, nullptr);
  operation->mDone(isFinished == TRUE ? std::optional<std::size_t>(count) : std::nullopt);
}

} // namespace

void readMessage(GInputStream* aInput,
                 GCancellable* aCancellable,
                 std::function<void(std::optional<ReceivedMessage>)> aDone)
{
  auto* operation =
    new ReadOperation{ aCancellable, std::move(aDone), flow::Bytes(kLengthPrefixBytes) };
  g_input_stream_read_all_async(aInput,
                                operation->mBuffer.data(),
                                kLengthPrefixBytes,
                                G_PRIORITY_DEFAULT,
                                aCancellable,
                                &onLength,
                                operation);
}

void writeMessage(GOutputStream* aOutput,
                  GCancellable* aCancellable,
                  const flow::Bytes& aMessage,
                  std::function<void(std::optional<std::size_t>)> aDone)
{
  const flow::Bytes body = compress(aMessage);
  auto* operation =
    new WriteOperation{ std::move(aDone), flow::Bytes(kLengthPrefixBytes + body.size()) };
  flow::write32(operation->mBuffer, 0, static_cast<std::uint32_t>(body.size()));
  std::copy(body.begin(), body.end(), operation->mBuffer.begin() + kLengthPrefixBytes);
  g_output_stream_write_all_async(aOutput,
                                  operation->mBuffer.data(),
                                  operation->mBuffer.size(),
                                  G_PRIORITY_DEFAULT,
                                  aCancellable,
                                  &onWritten,
                                  operation);
}

} // namespace cornelcross::net
