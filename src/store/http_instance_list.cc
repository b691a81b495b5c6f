#include "store/http_instance_list.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace rosemarycove {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

}  // namespace

HttpInstanceList::HttpInstanceList(std::string host, int port, Duration timeout)
    : host(std::move(host)), port(port), timeout(timeout) {}

tl::expected<std::vector<ListedInstance>, StoreError> HttpInstanceList::Read() {
  httplib::Client client(this->host, this->port);
  client.set_connection_timeout(this->timeout);
  client.set_read_timeout(this->timeout);
  const httplib::Result result = client.Get("/instances");
  if (!result || result->status != kOk) {
    return tl::unexpected(
        StoreError{.kind = StoreErrorKind::kUnavailable,
                   .message = "reading the list of instances failed"});
  }
  const json list = json::parse(result->body, nullptr, false);
  if (!list.is_array()) {
    return tl::unexpected(
        StoreError{.kind = StoreErrorKind::kUnavailable,
                   .message = "the list of instances is not a JSON array"});
  }
  std::vector<ListedInstance> instances;
  for (const json& item : list) {
    if (item.is_object() && item.contains("name") && item["name"].is_string() &&
        item.contains("peer_address") && item["peer_address"].is_string()) {
      instances.push_back(
          {.name = item["name"].get<std::string>(),
           .peer_address = item["peer_address"].get<std::string>(),
           .leaving = item.value("state", "live") == "leaving"});
    }
  }
  return instances;
}

}  // namespace rosemarycove
