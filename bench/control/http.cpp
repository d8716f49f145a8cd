#include "bench/control/http.hpp"

#include <libsoup/soup.h>
#include <sstream>

namespace cornelcross::bench {

namespace {

std::string send(SoupMessage* aMessage)
{
  SoupSession* session = soup_session_new();
  GBytes* bytes = soup_session_send_and_read(session, aMessage, nullptr, nullptr);
  std::string body;
  if (bytes != nullptr && soup_message_get_status(aMessage) == SOUP_STATUS_OK) {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    body.assign(data, size);
  }
  if (bytes != nullptr) {
    g_bytes_unref(bytes);
  }
  g_object_unref(aMessage);
  g_object_unref(session);
  return body;
}

} // namespace

std::string httpGet(flow::Endpoint aServer, const std::string& aPath)
{
  return send(soup_message_new(SOUP_METHOD_GET, ("http://" + aServer.toString() + aPath).c_str()));
}

std::string httpPut(flow::Endpoint aServer, const std::string& aPath, const std::string& aBody)
{
  SoupMessage* message =
    soup_message_new(SOUP_METHOD_PUT, ("http://" + aServer.toString() + aPath).c_str());
  GBytes* bytes = g_bytes_new(aBody.data(), aBody.size());
  soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  g_bytes_unref(bytes);
  return send(message);
}

double metricSum(const std::string& aText, const std::string& aName, const std::string& aLabel)
{
  double sum = 0;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t end = line.find_first_of("{ ");
    if (line.substr(0, end) == aName && line.find(aLabel) != std::string::npos) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

} // namespace cornelcross::bench
