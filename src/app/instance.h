// One instance of the router with all its components.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "app/event_log.h"
#include "app/metrics.h"
#include "app/settings.h"

namespace rosemarycove {

class CallerApi;
class ClaimStore;
class ConfigurationManager;
class HttpServer;
class KeyValueStore;
class LoadPoller;
class NodeHost;
class InstanceList;
class OperatorApi;
class PeerService;

// Owns the components of an instance and starts and stops them in order.
class Instance {
 public:
  explicit Instance(Settings settings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  // Binds the addresses and starts serving. Returns false when an address
  // can't be bound.
  bool Start();
  // Rejects new requests, waits until the open ones have ended, and stops.
  // Returns false when requests are still open after the drain timeout or once
  // `should_abort`, which is polled during the wait, has returned true.
  bool Drain(const std::function<bool()>& should_abort);

  // The bound ports, valid after Start. They differ from the settings where
  // those give port 0, which binds any free port.
  [[nodiscard]] int caller_port() const { return this->bound_caller_port; }
  [[nodiscard]] int operator_port() const { return this->bound_operator_port; }
  [[nodiscard]] int peer_port() const { return this->bound_peer_port; }

 private:
  bool StartServers();
  void MakeServers();
  void MakePeerService();
  // Ends the open requests at the end of a drain, each with its outcome.
  void CutOffRequests();

  Settings settings;
  // The instance's name with a random suffix, unique for each start.
  std::string process_name;
  EventLog log;
  Metrics metrics;
  std::unique_ptr<KeyValueStore> store;
  std::unique_ptr<ClaimStore> claims;
  std::unique_ptr<NodeHost> host;
  std::unique_ptr<ConfigurationManager> configuration;
  std::unique_ptr<InstanceList> instance_list;
  std::unique_ptr<PeerService> peers;
  std::unique_ptr<LoadPoller> load_poller;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> operator_server;
  std::unique_ptr<CallerApi> caller_api;
  std::unique_ptr<OperatorApi> operator_api;
  std::thread caller_thread;
  std::thread operator_thread;
  int bound_caller_port = 0;
  int bound_operator_port = 0;
  int bound_peer_port = 0;
};

}  // namespace rosemarycove
