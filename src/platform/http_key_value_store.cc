#include "platform/http_key_value_store.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace rosemarycove {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;

StoreError ToStoreError(const httplib::Result& result) {
  if (!result) {
    const bool unsent = result.error() == httplib::Error::Connection ||
                        result.error() == httplib::Error::ConnectionTimeout;
    return {.kind = unsent ? StoreErrorKind::kUnavailable
                           : StoreErrorKind::kUnknown,
            .message = httplib::to_string(result.error())};
  }
  return {.kind = StoreErrorKind::kUnknown,
          .message = "store answered " + std::to_string(result->status)};
}

httplib::Client MakeClient(const std::string& host, int port,
                           Duration timeout) {
  httplib::Client client(host, port);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  client.set_tcp_nodelay(true);
  return client;
}

// The version in a JSON answer, or 0.
StoreVersion VersionOf(const json& answer) {
  const auto version = answer.find("version");
  return version != answer.end() && version->is_number_unsigned()
             ? version->get<StoreVersion>()
             : 0;
}

}  // namespace

HttpKeyValueStore::HttpKeyValueStore(std::string host, int port,
                                     Duration timeout)
    : host(std::move(host)), port(port), timeout(timeout) {}

tl::expected<StoreValue, StoreError> HttpKeyValueStore::Read(
    const std::string& path, Duration longest) {
  httplib::Client client = MakeClient(this->host, this->port, longest);
  const httplib::Result result = client.Get(path);
  if (!result || result->status != kOk) {
    return tl::unexpected(ToStoreError(result));
  }
  const json answer = json::parse(result->body, nullptr, false);
  if (!answer.is_object() || !answer.contains("value") ||
      !answer["value"].is_string()) {
    return tl::unexpected(StoreError{.kind = StoreErrorKind::kUnknown,
                                     .message = "answer is not understood"});
  }
  return StoreValue{.value = answer["value"].get<std::string>(),
                    .version = VersionOf(answer)};
}

tl::expected<StoreValue, StoreError> HttpKeyValueStore::Get(
    const std::string& key) {
  return this->Read("/kv/" + key, this->timeout);
}

tl::expected<StoreValue, StoreError> HttpKeyValueStore::Watch(
    const std::string& key, StoreVersion known, Duration longest) {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(longest);
  return this->Read("/kv/" + key + "?above=" + std::to_string(known) +
                        "&wait_ms=" + std::to_string(wait.count()),
                    longest + this->timeout);
}

tl::expected<StoreVersion, StoreError> HttpKeyValueStore::CompareAndSwap(
    const std::string& key, StoreVersion expected, const std::string& value) {
  httplib::Client client = MakeClient(this->host, this->port, this->timeout);
  const httplib::Result result =
      client.Put("/kv/" + key + "?version=" + std::to_string(expected), value,
                 "application/octet-stream");
  if (!result || (result->status != kOk && result->status != kConflict)) {
    return tl::unexpected(ToStoreError(result));
  }
  const json answer = json::parse(result->body, nullptr, false);
  const StoreVersion version = answer.is_object() ? VersionOf(answer) : 0;
  if (result->status == kConflict) {
    return tl::unexpected(StoreError{.kind = StoreErrorKind::kConflict,
                                     .version = version,
                                     .message = "another version"});
  }
  return version;
}

}  // namespace rosemarycove
