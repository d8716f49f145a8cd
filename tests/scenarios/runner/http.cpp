#include "scenarios/runner/http.hpp"

#include <libsoup/soup.h>

namespace cornelcross::scenarios {

namespace {

constexpr unsigned kTimeout = 2; // seconds

} // namespace

std::optional<std::string> request(const std::string& aMethod,
                                   flow::Endpoint aHost,
                                   const std::string& aPath,
                                   const std::string& aBody)
{
  // A session of its own: a silent connection of an earlier request must not be taken up again.
  SoupSession* session = soup_session_new_with_options("timeout", kTimeout, nullptr);
  const std::string uri = "http://" + aHost.toString() + aPath;
  SoupMessage* message = soup_message_new(aMethod.c_str(), uri.c_str());
  if (!aBody.empty()) {
    GBytes* body = g_bytes_new(aBody.data(), aBody.size());
    soup_message_set_request_body_from_bytes(message, "text/plain", body);
    g_bytes_unref(body);
  }
  GBytes* answer = soup_session_send_and_read(session, message, nullptr, nullptr);
  std::optional<std::string> text;
  if (answer != nullptr && soup_message_get_status(message) == SOUP_STATUS_OK) {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(answer, &size));
    text = std::string(data == nullptr ? "" : data, size);
  }
  if (answer != nullptr) {
    g_bytes_unref(answer);
  }
  g_object_unref(message);
  g_object_unref(session);
  return text;
}

} // namespace cornelcross::scenarios
