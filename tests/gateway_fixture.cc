#include "tests/gateway_fixture.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <future>
#include <iostream>
#include <random>

#include "platform/store_protocol.h"
#include "proxy/endpoint.h"

namespace rosemarycove {
namespace {

using platform::HeaderValue;
using platform::RawConnection;

// Attempts until an expected state counts as not reached.
constexpr int kMaxTries = 20000;

GatewayOptions MakeOptions(const std::string& instance,
                           std::vector<std::string> seeds,
                           Duration shutdown_grace) {
  return {.instance = instance,
          .data_centre = "here",
          .caller_listen_address = "127.0.0.1:0",
          .status_listen_address = "127.0.0.1:0",
          .peer_listen_address = "127.0.0.1:0",
          .relay_listen_address = "127.0.0.1:0",
          .seeds = std::move(seeds),
          .retry_budget = {.ratio = 0.2, .slack = 20},
          .shutdown_grace = shutdown_grace};
}

}  // namespace

tl::expected<RegisteredServer, std::string> AddressMappingDecoder::Decode(
    const SharedDocument& document) const {
  tl::expected<RegisteredServer, std::string> server =
      this->decoder.Decode(document);
  if (server && this->map) {
    server->address = this->map(server->address);
  }
  return server;
}

RunningGateway::RunningGateway(
    const std::string& instance, const std::string& store_address,
    std::vector<std::string> seeds, Duration shutdown_grace,
    AddressMap address_map, const std::optional<platform::DutySettings>& duties)
    : log(std::make_unique<EventLog>(instance, LogFormat::kJson, "off")),
      server_decoder(std::move(address_map)),
      configuration_store(io, {.endpoint = *ParseTcpEndpoint(store_address),
                               .prefix = "op/",
                               .key = "config"}),
      server_store(io, {.endpoint = *ParseTcpEndpoint(store_address),
                        .prefix = "servers/",
                        .max_value_bytes = platform::kMaxEntryBytes}),
      duty_clients(
          duties ? std::make_unique<platform::DutyClients>(
                       io, *duties, *ParseTcpEndpoint(store_address), instance)
                 : nullptr),
      gateway(io, MakeOptions(instance, std::move(seeds), shutdown_grace),
              {.dialect = dialect,
               .server_decoder = server_decoder,
               .configuration_decoder = configuration_decoder,
               .configuration_store = configuration_store,
               .server_store = server_store,
               .duties = duty_clients ? std::optional(duty_clients->parts())
                                      : std::nullopt,
               .reload_options =
                   [this]() -> tl::expected<GatewayOptions, std::string> {
                 if (!this->grace_in_file) {
                   return tl::unexpected(std::string("no file"));
                 }
                 return MakeOptions("", {}, *this->grace_in_file);
               }},
              *log) {
  if (const auto error = this->gateway.Start()) {
    std::cerr << "the gateway failed to start: " << *error << "\n";
    std::abort();
  }
  this->caller_port = this->gateway.caller_port();
  this->status_port = this->gateway.status_port();
  this->thread =
      std::thread([this] { this->clean_exit = this->gateway.Run(); });
}

RunningGateway::~RunningGateway() {
  this->io.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void RunningGateway::ReloadGrace(Duration grace) {
  this->RunOnEventLoop(
      [this, grace](Gateway&) { this->grace_in_file = grace; });
  std::raise(SIGHUP);
}

std::unique_ptr<RawConnection> RunningGateway::Connect() const {
  return RawConnection::Connect(this->caller_port);
}

std::string RunningGateway::SendRequest(const std::string& request) const {
  const auto connection = this->Connect();
  if (!connection) {
    return "";
  }
  connection->Send(request);
  return connection->ReadMessage().value_or("");
}

std::string RunningGateway::GetStatusPage(const std::string& path) const {
  const auto connection = RawConnection::Connect(this->status_port);
  connection->Send("GET " + path + " HTTP/1.1\r\nHost: status\r\n\r\n");
  return connection->ReadMessage().value_or("");
}

double RunningGateway::MetricValue(const std::string& name) const {
  const std::string text = this->GetStatusPage("/metrics");
  const std::string line = "\n" + name + " ";
  const std::size_t at = text.find(line);
  return at == std::string::npos ? -1
                                 : std::stod(text.substr(at + line.size()));
}

bool RunningGateway::AwaitMetric(const std::string& name, double value) const {
  for (int i = 0; i < kMaxTries; ++i) {
    if (this->MetricValue(name) == value) {
      return true;
    }
  }
  return false;
}

bool RunningGateway::IsReady() const {
  return this->GetStatusPage("/readyz").starts_with("HTTP/1.1 200");
}

void RunningGateway::AwaitReady() const {
  for (int i = 0; i < kMaxTries && !this->IsReady(); ++i) {
  }
}

bool RunningGateway::SendRequestUntil(const std::string& request,
                                      const std::string& status_line) const {
  for (int i = 0; i < kMaxTries; ++i) {
    if (this->SendRequest(request).starts_with(status_line)) {
      return true;
    }
  }
  return false;
}

void RunningGateway::RunOnEventLoop(
    const std::function<void(Gateway&)>& action) {
  std::promise<void> finished;
  boost::asio::post(this->io, [&] {
    action(this->gateway);
    finished.set_value();
  });
  finished.get_future().wait();
}

bool RunningGateway::DrainAndWait() {
  this->RunOnEventLoop(
      [](Gateway& running_gateway) { running_gateway.StartDrain(); });
  return this->AwaitEnd();
}

bool RunningGateway::AwaitEnd() {
  this->thread.join();
  return this->clean_exit;
}

std::string RunningGateway::peers_address() const {
  return "127.0.0.1:" + std::to_string(this->gateway.peer_port());
}

PlatformFixture::PlatformFixture(platform::RawServer::Handler handler)
    : engine(std::move(handler)) {
  this->PutConfiguration(1);
  this->AddServer("engine-1", "model", this->engine.address());
  this->AddServer("orders-1", "orders", this->engine.address());
  this->AddServer("stock-1", "stock", this->engine.address());
}

void PlatformFixture::AddServer(const std::string& id,
                                const std::string& service,
                                const std::string& address,
                                const std::string& state, int born) {
  this->store.Put(
      "servers/" + id,
      fmt::format(R"({{"service":"{}","address":"{}","zone":"here",)"
                  R"("version":"v1","slots":8,"state":"{}","born":{},)"
                  R"("cold_left_ms":0,"seq":1}})",
                  service, address, state, born));
}

void PlatformFixture::PutConfiguration(int version, bool revoked,
                                       const std::string& once_timeout_ms) {
  const std::string keys = revoked ? "[]" : R"(["key-1"])";
  const std::string value = fmt::format(
      R"({{"version":{},"routes":[)"
      R"({{"name":"stream","hostname":"site.example",)"
      R"("path_prefix":"/stream/","type":"streaming","timeout_ms":5000,)"
      R"("slo_ms":500,"priority":1,"service":"model","attempts":2,)"
      R"("public":false,"resumable":true,"gap_target_ms":200}},)"
      R"({{"name":"once","hostname":"site.example","path_prefix":"/once/",)"
      R"("type":"unsafe","timeout_ms":{},"slo_ms":100,"priority":2,)"
      R"("service":"orders","attempts":1,"public":false}},)"
      R"({{"name":"again","hostname":"site.example",)"
      R"("path_prefix":"/again/","type":"safe","timeout_ms":2000,)"
      R"("slo_ms":500,"priority":2,"service":"stock","attempts":2,)"
      R"("public":false}}{}],"services":[)"
      R"({{"name":"model","max_conns":64,"engine":{{"slots":8,)"
      R"("kv_tokens":100000,"stride":4}}}},)"
      R"({{"name":"orders","max_conns":64}},)"
      R"({{"name":"stock","max_conns":64}}],)"
      R"("limits":{{"max_header_bytes":4096,"max_body_bytes":65536,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}},)"
      R"("tenants":[{{"name":"customer-1","api_keys":{}}}]}})",
      version, once_timeout_ms, this->ExtraRoutes(), keys);
  this->sent_configuration_bytes =
      static_cast<double>(platform::EncodeBase64(value).size());
  this->store.Put("op/config", value);
}

std::string PlatformFixture::ExtraRoutes() const {
  std::string routes;
  std::mt19937_64 random(1);
  for (int index = 0; index < this->extra_routes; ++index) {
    routes += fmt::format(
        R"(,{{"name":"extra-{}","hostname":"site.example",)"
        R"("path_prefix":"/extra-{}-{:x}/","type":"safe","timeout_ms":2000,)"
        R"("slo_ms":500,"priority":2,"service":"stock","attempts":2,)"
        R"("public":false}})",
        index, index, random());
  }
  return routes;
}

std::string PlatformFixture::Request(const std::string& path,
                                     const std::string& id,
                                     const std::string& extra_fields,
                                     const std::string& body) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: site.example\r\n"
      "Rosemarycove-Request-Id: {}\r\nAuthorization: Token key-1\r\n"
      "Rosemarycove-Deadline-Ms: 5000\r\n{}Content-Length: {}\r\n\r\n{}",
      path, id, extra_fields, body.size(), body);
}

std::string EngineResponse(const std::string& request, const std::string& body,
                           const std::string& status,
                           const std::string& extra_fields) {
  return fmt::format(
      "HTTP/1.1 {}\r\nRosemarycove-Request-Id: {}\r\n"
      "Rosemarycove-Server-Seal: seal\r\n{}Content-Length: {}\r\n\r\n{}",
      status, HeaderValue(request, "Rosemarycove-Request-Id"), extra_fields,
      body.size(), body);
}

std::string StreamResponseHead(const std::string& request) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRosemarycove-Request-Id: {}\r\n"
      "Rosemarycove-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      HeaderValue(request, "Rosemarycove-Request-Id"));
}

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

}  // namespace rosemarycove
