#include "store/http_key_value_store.h"

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
    httplib::Client& client, const std::string& path) {
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
  httplib::Client client = MakeClient(this->host, this->port, this->timeout);
  return Read(client, "/kv/" + key);
}

tl::expected<StoreValue, StoreError> HttpKeyValueStore::Watch(
    const std::string& key, StoreVersion known, Duration longest) {
  httplib::Client client =
      MakeClient(this->host, this->port, longest + this->timeout);
  client.set_connection_timeout(this->timeout);
  {
    const std::lock_guard lock(this->mutex);
    if (this->watches_cancelled) {
      return tl::unexpected(StoreError{.message = "watch cancelled"});
    }
    this->watching = &client;
  }
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(longest);
  auto value = Read(client, "/kv/" + key + "?above=" + std::to_string(known) +
                                "&wait_ms=" + std::to_string(wait.count()));
  const std::lock_guard lock(this->mutex);
  this->watching = nullptr;
  return value;
}

void HttpKeyValueStore::CancelWatches() {
  const std::lock_guard lock(this->mutex);
  this->watches_cancelled = true;
  if (this->watching != nullptr) {
    this->watching->stop();
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
