#include "store/http_key_value_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "wire/json_decoder.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;

StoreError ToStoreError(const httplib::Result& result) {
  if (!result) {
    const bool is_unsent = result.error() == httplib::Error::Connection ||
                           result.error() == httplib::Error::ConnectionTimeout;
    return {.kind = is_unsent ? StoreErrorKind::kUnavailable
                              : StoreErrorKind::kUnknown,
            .message = httplib::to_string(result.error())};
  }
  return {.kind = StoreErrorKind::kUnknown,
          .message = "the store responded with status " +
                     std::to_string(result->status)};
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

// Returns the version in a JSON response; 0 if it has none.
StoreVersion VersionOf(const json& body) {
  const auto version = body.find("version");
  return version != body.end() && version->is_number_unsigned()
             ? version->get<StoreVersion>()
             : 0;
}

}  // namespace

HttpKeyValueStore::HttpKeyValueStore(std::string host, int port,
                                     Duration timeout)
    : host(std::move(host)), port(port), timeout(timeout) {}

tl::expected<StoreValue, StoreError> HttpKeyValueStore::Read(
    httplib::Client& client, const std::string& path) {
  const httplib::Result result = client.Get(path);
  if (!result || result->status != kOk) {
    return tl::unexpected(ToStoreError(result));
  }
  const json body = JsonDecoder().Parse(result->body).value_or(json());
  if (!body.is_object() || !body.contains("value") ||
      !body["value"].is_string()) {
    return tl::unexpected(StoreError{.kind = StoreErrorKind::kUnknown,
                                     .message = "the response has no value"});
  }
  return StoreValue{.value = body["value"].get<std::string>(),
                    .version = VersionOf(body)};
}

tl::expected<StoreValue, StoreError> HttpKeyValueStore::Get(
    const std::string& key) {
  httplib::Client client = MakeClient(this->host, this->port, this->timeout);
  return Read(client, "/kv/" + key);
}

tl::expected<StoreValue, StoreError> HttpKeyValueStore::Watch(
    const std::string& key, StoreVersion known_version, Duration max_wait) {
  httplib::Client client =
      MakeClient(this->host, this->port, max_wait + this->timeout);
  client.set_connection_timeout(this->timeout);
  {
    const std::lock_guard lock(this->mutex);
    if (this->watches_cancelled) {
      return tl::unexpected(StoreError{.message = "the watch was cancelled"});
    }
    this->watch_client = &client;
  }
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(max_wait);
  auto value =
      Read(client, "/kv/" + key + "?above=" + std::to_string(known_version) +
                       "&wait_ms=" + std::to_string(wait.count()));
  const std::lock_guard lock(this->mutex);
  this->watch_client = nullptr;
  return value;
}

void HttpKeyValueStore::CancelWatches() {
  const std::lock_guard lock(this->mutex);
  this->watches_cancelled = true;
  if (this->watch_client != nullptr) {
    this->watch_client->stop();
  }
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
  const json body = JsonDecoder().Parse(result->body).value_or(json());
  const StoreVersion version = body.is_object() ? VersionOf(body) : 0;
  if (result->status == kConflict) {
    return tl::unexpected(StoreError{.kind = StoreErrorKind::kConflict,
                                     .version = version,
                                     .message = "the key has another version"});
  }
  return version;
}

}  // namespace rosemarycove
