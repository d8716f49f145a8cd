#include "net/document_source.hpp"

namespace cornelcross::net {

DocumentSourceFactory configServiceSource(flow::Endpoint aService)
{
  return [aService](const DocumentSourceContext& aContext) {
    const auto client = std::make_shared<ConfigClient>(aService, aContext.mOnResult);
    return DocumentSource{ [client](std::uint64_t aAfterRevision, unsigned aWaitSeconds, bool) {
                            client->read(aAfterRevision, aWaitSeconds);
                          },
                           [client] { return client->requestCount(); } };
  };
}

} // namespace cornelcross::net
