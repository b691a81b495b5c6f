#include "store/http_key_value_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "http/bounded_response.h"
#include "wire/json_decoder.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;
// How many of the timeouts of a read a whole response may take.
constexpr int kReadTimeouts = 4;
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20U;

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

void SetTimeouts(BackendClient& client, Duration timeout) {
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  client.set_tcp_nodelay(true);
}

// Returns the version in a JSON response; 0 if it has none.
StoreVersion VersionOf(const json& body) {
  const auto version = body.find("version");
  return version != body.end() && version->is_number_unsigned()
             ? version->get<StoreVersion>()
             : 0;
}

}  // namespace

HttpKeyValueStore::HttpKeyValueStore(const std::string& host, int port,
                                     Duration timeout)
    : address(host + ":" + std::to_string(port)), timeout(timeout) {}

tl::expected<StoreValue, StoreError> HttpKeyValueStore::Read(
    BackendClient& client, const std::string& path, Duration max_time) {
  httplib::Request request;
  request.method = "GET";
  request.path = path;
  const httplib::Result result =
      SendBounded(client, std::move(request),
                  {.max_body_bytes = kMaxBodyBytes, .max_time = max_time});
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
  BackendClient client(this->address);
  SetTimeouts(client, this->timeout);
  return Read(client, "/kv/" + key, kReadTimeouts * this->timeout);
}

tl::expected<StoreValue, StoreError> HttpKeyValueStore::Watch(
    const std::string& key, StoreVersion known_version, Duration max_wait) {
  BackendClient client(this->address);
  SetTimeouts(client, max_wait + this->timeout);
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
  auto value = Read(client,
                    "/kv/" + key + "?above=" + std::to_string(known_version) +
                        "&wait_ms=" + std::to_string(wait.count()),
                    max_wait + kReadTimeouts * this->timeout);
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
  BackendClient client(this->address);
  SetTimeouts(client, this->timeout);
  httplib::Request request;
  request.method = "PUT";
  request.path = "/kv/" + key + "?version=" + std::to_string(expected);
  request.set_header("Content-Type", "application/octet-stream");
  request.body = value;
  const httplib::Result result =
      SendBounded(client, std::move(request),
                  {.max_body_bytes = kMaxBodyBytes,
                   .max_time = kReadTimeouts * this->timeout});
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
