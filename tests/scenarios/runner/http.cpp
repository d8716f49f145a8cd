#include "scenarios/runner/http.hpp"

#include <libsoup/soup.h>

namespace cornelcross::scenarios {

namespace {

constexpr unsigned kTimeoutSeconds = 2;

} // namespace

std::optional<std::string> sendHttpRequest(const std::string& aMethod,
                                           flow::Endpoint aServer,
                                           const std::string& aPath,
                                           const std::string& aBody)
{
  // Each request has its own session, because a session would reuse the connection of an earlier
  // request, which may be half-open after "config forget".
  SoupSession* session = soup_session_new_with_options("timeout", kTimeoutSeconds, nullptr);
  const std::string uri = "http://" + aServer.toString() + aPath;
  SoupMessage* message = soup_message_new(aMethod.c_str(), uri.c_str());
  if (!aBody.empty()) {
    GBytes* body = g_bytes_new(aBody.data(), aBody.size());
    soup_message_set_request_body_from_bytes(message, "text/plain", body);
    g_bytes_unref(body);
  }
  GBytes* response = soup_session_send_and_read(session, message, nullptr, nullptr);
  std::optional<std::string> text;
  if (response != nullptr && soup_message_get_status(message) == SOUP_STATUS_OK) {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(response, &size));
    text = std::string(data == nullptr ? "" : data, size);
  }
  if (response != nullptr) {
    g_bytes_unref(response);
  }
  g_object_unref(message);
  g_object_unref(session);
  return text;
}

} // namespace cornelcross::scenarios
