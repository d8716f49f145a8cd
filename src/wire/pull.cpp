#include "wire/pull.hpp"

#include "wire/archive.hpp"

namespace cornelcross::wire {

namespace {

template<class T>
flow::Bytes encodeBody(const T& aMessage)
{
  flow::Bytes bytes;
  OutputArchive archive(bytes);
  archive(aMessage);
  return bytes;
}

template<class T>
std::optional<T> decodeBody(std::span<const std::byte> aBody)
{
  T message;
  InputArchive archive(aBody);
  try {
    archive(message);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return archive.remaining().empty() ? std::optional<T>(std::move(message)) : std::nullopt;
}

} // namespace

flow::Bytes encode(const PullRequest& aRequest)
{
  return encodeBody(aRequest);
}

flow::Bytes encode(const PullReply& aReply)
{
  return encodeBody(aReply);
}

std::optional<PullRequest> decodePullRequest(std::span<const std::byte> aBody)
{
  return decodeBody<PullRequest>(aBody);
}

std::optional<PullReply> decodePullReply(std::span<const std::byte> aBody)
{
  return decodeBody<PullReply>(aBody);
}

} // namespace cornelcross::wire
