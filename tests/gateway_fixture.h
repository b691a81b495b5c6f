// A gateway on loopback with a stand-in for the platform's store.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "platform/call_dialect.h"
#include "platform/documents.h"
#include "platform/duty_clients.h"
#include "platform/standins/raw_server.h"
#include "platform/standins/store_standin.h"
#include "platform/store_client.h"

namespace rosemarycove {

// Returns the address at which one instance finds a server that is registered
// at another address; stands for the network between them.
using AddressMap = std::function<std::string(const std::string& address)>;

// Decodes registrations as the platform does, then maps their addresses.
class AddressMappingDecoder : public ServerDecoder {
 public:
  explicit AddressMappingDecoder(AddressMap map) : map(std::move(map)) {}

  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const override;

 private:
  platform::PlatformServerDecoder decoder;
  AddressMap map;
};

// Runs one gateway on its own thread.
class RunningGateway {
 public:
  // Without `address_map`, the instance reaches all servers.
  RunningGateway(const std::string& instance, const std::string& store_address,
                 std::vector<std::string> seeds = {},
                 Duration shutdown_grace = std::chrono::seconds(8),
                 AddressMap address_map = {},
                 const std::optional<platform::DutySettings>& duties = {});
  ~RunningGateway();

  // The callers' port.
  [[nodiscard]] int port() const { return this->caller_port; }
  // Opens a caller's connection.
  [[nodiscard]] std::unique_ptr<platform::RawConnection> Connect() const;
  // Sends one request on a new connection, returns the complete response and
  // closes the connection. Returns an empty string if there is no complete
  // response.
  [[nodiscard]] std::string SendRequest(const std::string& request) const;
  // Returns the response of the status server to GET.
  [[nodiscard]] std::string GetStatusPage(const std::string& path) const;
  // Returns the value of a metric; -1 if there is none of this name.
  [[nodiscard]] double MetricValue(const std::string& name) const;
  // Repeats until the metric has the value; returns false if it never has.
  [[nodiscard]] bool AwaitMetric(const std::string& name, double value) const;
  // Returns whether the status server reports that the gateway is ready.
  [[nodiscard]] bool IsReady() const;
  void AwaitReady() const;
  // Repeats the request until the response begins with the status line. Returns
  // false if it never does.
  [[nodiscard]] bool SendRequestUntil(const std::string& request,
                                      const std::string& status_line) const;
  // Runs the action on the event loop's thread and waits for it.
  void RunOnEventLoop(const std::function<void(Gateway&)>& action);
  // Changes the shutdown grace in the settings and reloads them as SIGHUP does.
  void ReloadGrace(Duration grace);
  // Shuts the gateway down as SIGTERM does and returns the result of Run.
  bool DrainAndWait();
  // Waits for the end of a started shutdown and returns the result of Run.
  bool AwaitEnd();
  // Valid once the gateway has ended.
  [[nodiscard]] const RequestCounts& request_counts() const {
    return this->gateway.request_counts();
  }
  [[nodiscard]] std::string peers_address() const;

 private:
  std::unique_ptr<EventLog> log;
  boost::asio::io_context io;
  platform::PlatformCallDialect dialect;
  AddressMappingDecoder server_decoder;
  platform::PlatformConfigurationDecoder configuration_decoder;
  platform::StoreClient configuration_store;
  platform::StoreClient server_store;
  std::unique_ptr<platform::DutyClients> duty_clients;
  // The grace that the settings have on a reload; without it, they can't be
  // read.
  std::optional<Duration> grace_in_file;
  Gateway gateway;
  int caller_port = 0;
  int status_port = 0;
  bool clean_exit = false;
  std::thread thread;
};

// A store with a configuration of three routes, each with its own service:
// /stream/ (resumable), /once/ and /again/ at host "site.example".
class PlatformFixture {
 public:
  explicit PlatformFixture(platform::RawServer::Handler engine);

  // Registers a server of the service in the store. `born` is the start time by
  // which a restart is recognized.
  void AddServer(const std::string& id, const std::string& service,
                 const std::string& address, const std::string& state = "ready",
                 int born = 1);
  // Writes the configuration with this version; without the customer's key if
  // `revoked`.
  void PutConfiguration(int version, bool revoked = false,
                        const std::string& once_timeout_ms = "2000");
  // Adds routes /extra-N.../ to the configurations that are written from now
  // on.
  void AddRoutes(int count) { this->extra_routes += count; }
  // The size of the last configuration that was written, as the store sends it.
  [[nodiscard]] double configuration_size() const {
    return this->sent_configuration_bytes;
  }
  // Returns a caller's request with this id.
  static std::string Request(const std::string& path, const std::string& id,
                             const std::string& extra_fields = "",
                             const std::string& body = "");

  platform::StoreStandin store;
  platform::RawServer engine;

 private:
  [[nodiscard]] std::string ExtraRoutes() const;

  int extra_routes = 0;
  double sent_configuration_bytes = 0;
};

// Returns an engine's complete response to the request.
std::string EngineResponse(const std::string& request, const std::string& body,
                           const std::string& status = "200 OK",
                           const std::string& extra_fields = "");
// Returns the head of a response that is a chunked event stream.
std::string StreamResponseHead(const std::string& request);
std::string Chunk(const std::string& bytes);

}  // namespace rosemarycove
