#include "tests/http_fixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "store/digest.h"
#include "tests/resource_fixtures.h"

namespace rosemarycove {
namespace {

constexpr char kKey[] = "secret-of-alice";
constexpr char kToken[] = "operators-token";
// Polls of a counter, every 10 ms.
constexpr int kMaxPolls = 1000;

CallResult ToCallResult(const httplib::Result& result) {
  if (!result) {
    return {.headers = {}, .transport_failed = true};
  }
  return {.status = result->status,
          .body = result->body,
          .headers = result->headers};
}

Settings MakeSettings(const HttpFixture& fixture, int max_body) {
  Settings settings;
  settings.name = "test";
  settings.data_centre = "a";
  settings.listen = {.host = "127.0.0.1", .port = 0};
  settings.operator_listen = {.host = "127.0.0.1", .port = 0};
  settings.operator_token = kToken;
  settings.max_connections = 16;
  settings.log_level = "error";
  settings.stall_timeout = std::chrono::milliseconds(300);
  settings.read_timeout = std::chrono::milliseconds(500);
  settings.write_timeout = std::chrono::milliseconds(500);
  settings.idle_timeout = std::chrono::milliseconds(300);
  ResourceSet resources = MakeResources(0);
  resources.backends.clear();
  resources.limits.max_body = max_body;
  resources.customers[0].key_hash = Sha256Hex(kKey);
  for (const auto& engine : fixture.engines) {
    resources.backends.push_back(
        {.name = "engine-" + std::to_string(resources.backends.size()),
         .service = "models",
         .address = engine->address(),
         .data_centre = "a",
         .models = {},
         .token_time_base = std::chrono::milliseconds(1)});
  }
  resources.backends.push_back({.name = "orders-0",
                                .service = "orders",
                                .address = fixture.orders.address(),
                                .data_centre = "a",
                                .models = {}});
  settings.resources = std::move(resources);
  return settings;
}

}  // namespace

std::string CallResult::Header(const std::string& name) const {
  const auto found = this->headers.find(name);
  return found == this->headers.end() ? "" : found->second;
}

HttpFixture::HttpFixture(int engine_count, int max_body) {
  for (int i = 0; i < engine_count; ++i) {
    this->engines.push_back(
        std::make_unique<standins::EngineStandin>(standins::EngineOptions{
            .token_time_base = std::chrono::microseconds(500),
            .token_time_per_stream = std::chrono::microseconds(10)}));
    this->engines.back()->Start(0);
  }
  this->orders.Start(0);
  this->instance = std::make_unique<Instance>(MakeSettings(*this, max_body));
  this->instance->Start();
}

HttpFixture::~HttpFixture() {
  this->instance->Drain([] { return false; });
}

CallResult HttpFixture::Post(const std::string& path, const std::string& body,
                             const httplib::Headers& headers) {
  httplib::Client client("127.0.0.1", this->instance->caller_port());
  client.set_read_timeout(std::chrono::seconds(20));
  return ToCallResult(client.Post(path, headers, body, "application/json"));
}

CallResult HttpFixture::Chat(const std::string& body,
                             const httplib::Headers& extra) {
  httplib::Headers headers = extra;
  headers.emplace("Authorization", std::string("Bearer ") + kKey);
  return this->Post("/v1/chat/completions", body, headers);
}

CallResult HttpFixture::PostOrder(const std::string& body,
                                  const httplib::Headers& extra) {
  httplib::Headers headers = extra;
  headers.emplace("Authorization", std::string("Bearer ") + kKey);
  headers.emplace("X-Request-Class", "order");
  return this->Post("/services/orders/dispatch", body, headers);
}

CallResult HttpFixture::Get(int port, const std::string& path,
                            const httplib::Headers& headers) {
  httplib::Client client("127.0.0.1", port);
  return ToCallResult(client.Get(path, headers));
}

int HttpFixture::Connect() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(this->instance->caller_port()));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return fd;
}

std::string HttpFixture::SendRaw(const std::string& bytes) {
  const int fd = this->Connect();
  send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string response;
  std::array<char, 4096> buffer{};
  ssize_t count = 0;
  while ((count = recv(fd, buffer.data(), buffer.size(), 0)) > 0) {
    response.append(buffer.data(), static_cast<std::size_t>(count));
  }
  close(fd);
  return response;
}

std::uint64_t HttpFixture::Counter(const std::string& name) {
  const CallResult status =
      this->Get(this->instance->operator_port(), "/operator/v1/status",
                {{"Authorization", std::string("Bearer ") + kToken}});
  const auto body = nlohmann::json::parse(status.body, nullptr, false);
  return body.is_object() ? body["counters"].value(name, std::uint64_t{0}) : 0;
}

bool HttpFixture::AwaitCounter(const std::string& name, std::uint64_t value) {
  for (int i = 0; i < kMaxPolls; ++i) {
    if (this->Counter(name) == value) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

std::string HttpFixture::ChatBody(bool stream, int tokens) {
  return nlohmann::json{
      {"model", "m"},
      {"stream", stream},
      {"max_tokens", tokens},
      {"messages", {{{"role", "user"}, {"content", "How long is the rope?"}}}}}
      .dump();
}

}  // namespace rosemarycove
