#pragma once

#include "config/document_batch.hpp"
#include "config/retained_state.hpp"
#include "flow/packet_edit.hpp"

#include <optional>
#include <span>

namespace cornelcross::wire {

/// @brief Queries a peer over TCP for the documents that the sender lacks.
struct PullRequest
{
  std::uint64_t mAfterRevision = 0; ///< the sender has all changes up to this revision
  std::vector<std::string> mKeys;   ///< keys of documents to send regardless of their revision

  auto operator<=>(const PullRequest&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAfterRevision, mKeys);
  }
};

/// @brief Reply to a PullRequest.
struct PullReply
{
  bool mIsBusy = false; ///< the peer shed the request; retry with another peer or later
  config::DocumentBatch mBatch;
  config::RetainedState mRetainedState;

  auto operator<=>(const PullReply&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsBusy, mBatch, mRetainedState);
  }
};

/// @brief Encodes a request as the body of one stream message.
flow::Bytes encode(const PullRequest& aRequest);

/// @brief Encodes a reply as the body of one stream message.
flow::Bytes encode(const PullReply& aReply);

/// @brief Decodes a request. Returns empty if aBody is malformed.
std::optional<PullRequest> decodePullRequest(std::span<const std::byte> aBody);

/// @brief Decodes a reply. Returns empty if aBody is malformed.
std::optional<PullReply> decodePullReply(std::span<const std::byte> aBody);

} // namespace cornelcross::wire
