#include "store/http_instance_list.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "wire/json_decoder.h"

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
  const json list = JsonDecoder().Parse(result->body).value_or(json());
  if (!list.is_array()) {
    return tl::unexpected(
        StoreError{.kind = StoreErrorKind::kUnavailable,
                   .message = "the list of instances is not a JSON array"});
  }
  std::vector<ListedInstance> instances;
  for (const json& item : list) {
    try {
      const JsonFields fields(item);
      instances.push_back(
          {.name = fields.String("name"),
           .peer_address = fields.String("peer_address"),
           .leaving = fields.StringOr("state", "live") == "leaving"});
    } catch (const JsonFieldError&) {
      // The item names no instance.
      continue;
    }
  }
  return instances;
}

}  // namespace rosemarycove
