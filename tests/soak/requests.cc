#include "tests/soak/requests.h"

#include <fmt/format.h>

#include <array>
#include <functional>

#include "platform/standins/raw_server.h"

namespace rosemarycove::soak {
namespace {

using platform::HeaderValue;

constexpr std::array<const char*, kKindCount> kRoutes{"once", "again", "resume",
                                                      "stream"};

std::string RequestBody(const std::string& id, const std::string& customer) {
  return fmt::format("{} asks {}", customer, id);
}

}  // namespace

bool IsStream(Kind kind) {
  return kind == Kind::kResumable || kind == Kind::kStream;
}

bool MayRepeat(Kind kind) {
  return kind == Kind::kRepeatable || kind == Kind::kResumable;
}

std::string ApiKey(const std::string& customer, int version) {
  return fmt::format("{}-{}", customer, version);
}

std::string RequestBytes(const SentRequest& request) {
  const std::string body = RequestBody(request.id, request.customer);
  return fmt::format(
      "POST /{}/{} HTTP/1.1\r\nHost: site.example\r\n"
      "Rosemarycove-Request-Id: {}\r\nAuthorization: Token {}\r\n"
      "Rosemarycove-Deadline-Ms: 5000\r\nContent-Length: {}\r\n\r\n{}",
      kRoutes.at(static_cast<std::size_t>(request.kind)), request.id,
      request.id, ApiKey(request.customer, request.key_version), body.size(),
      body);
}

bool IsUnchanged(const std::string& message) {
  const std::string id = HeaderValue(message, "Rosemarycove-Request-Id");
  const std::string start =
      fmt::format("POST /{}/{} HTTP/1.1\r\n",
                  kRoutes.at(static_cast<std::size_t>(KindOf(message))), id);
  return message.starts_with(start) &&
         message.ends_with(
             "\r\n\r\n" +
             RequestBody(id, HeaderValue(message, "Rosemarycove-Tenant")));
}

Kind KindOf(const std::string& message) {
  for (std::size_t i = 0; i < kRoutes.size(); ++i) {
    if (message.starts_with(fmt::format("POST /{}/", kRoutes.at(i)))) {
      return static_cast<Kind>(i);
    }
  }
  return Kind::kOnce;
}

std::string ResponseBody(const std::string& id) {
  constexpr std::size_t kMostPadding = 6000;
  return "done " + id +
         std::string(std::hash<std::string>()(id) % kMostPadding, '.');
}

int EventCount(const std::string& id) {
  constexpr int kLeast = 2;
  constexpr std::size_t kSpread = 12;
  return kLeast + static_cast<int>(std::hash<std::string>()(id) % kSpread);
}

std::string EventBytes(const std::string& id, int number) {
  return fmt::format("id: {}\ndata: {} of {}\n\n", number, number, id);
}

std::string AllEvents(const std::string& id) {
  std::string all;
  for (int i = 1; i <= EventCount(id); ++i) {
    all += EventBytes(id, i);
  }
  return all;
}

}  // namespace rosemarycove::soak
