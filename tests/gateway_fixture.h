// A gateway on loopback with a stand-in of the platform's store.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "platform/call_dialect.h"
#include "platform/documents.h"
#include "platform/standins/raw_server.h"
#include "platform/standins/store_standin.h"
#include "platform/store_client.h"

namespace rosemarycove {

// Runs one gateway on a thread of its own.
class RunningGateway {
 public:
  RunningGateway(const std::string& instance, const std::string& store_address,
                 std::vector<std::string> seeds = {});
  ~RunningGateway();

  // Connects as a caller.
  [[nodiscard]] std::unique_ptr<platform::RawConnection> Call() const;
  // Sends one request on a new connection and returns the whole answer, whose
  // connection is closed afterwards.
  [[nodiscard]] std::string Ask(const std::string& request) const;
  // The answer of the status address to GET.
  [[nodiscard]] std::string Status(const std::string& path) const;
  // Whether the status address says that it is ready.
  [[nodiscard]] bool IsReady() const;
  void AwaitReady() const;
  // Asks until the answer begins with the status line; false after many tries.
  [[nodiscard]] bool AskUntil(const std::string& request,
                              const std::string& status_line) const;
  // Runs on the event loop and waits for it.
  void Do(const std::function<void(Gateway&)>& action);
  // As SIGTERM does; returns what Run returned.
  bool LeaveAndWait();
  [[nodiscard]] std::string peers_address() const;

 private:
  std::unique_ptr<EventLog> log;
  boost::asio::io_context io;
  platform::PlatformCallDialect dialect;
  platform::PlatformServerDecoder servers;
  platform::PlatformConfigurationDecoder configurations;
  platform::StoreClient configuration_store;
  platform::StoreClient server_store;
  Gateway gateway;
  int callers_port = 0;
  int status_port = 0;
  bool orderly = false;
  std::thread thread;
};

// A store with a configuration of three routes, each on a service of its own:
// /stream/ (resumable), /once/ and /again/ at host "site.example".
class PlatformFixture {
 public:
  explicit PlatformFixture(platform::RawServer::Handler engine);

  // Registers a server of the service in the store.
  void AddServer(const std::string& id, const std::string& service,
                 const std::string& address, const std::string& state = "ready",
                 int born = 1);
  // Writes the configuration under this version; without the key when revoked.
  void PutConfiguration(int version, bool revoked = false,
                        const std::string& once_timeout = "2000");
  static std::string Request(const std::string& path, const std::string& id,
                             const std::string& more = "",
                             const std::string& body = "");

  platform::StoreStandin store;
  platform::RawServer engine;
};

// An engine's whole answer to the request.
std::string EngineAnswer(const std::string& request, const std::string& body,
                         const std::string& status = "200 OK",
                         const std::string& more = "");
// The head of a stream that is sent in chunks.
std::string StreamHead(const std::string& request);
std::string Chunk(const std::string& bytes);

}  // namespace rosemarycove
