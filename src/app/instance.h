// One instance, put together from its parts.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "app/event_log.h"
#include "app/metrics.h"
#include "app/settings.h"

namespace rosemarycove {

class CallerFront;
class ClaimStore;
class ConfigurationManager;
class HttpServer;
class KeyValueStore;
class LoadPoller;
class NodeHost;
class InstanceList;
class OperatorApi;
class PeerService;

// Owns every part of an instance, starts them and stops them in order.
class Instance {
 public:
  explicit Instance(Settings settings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  // Binds and begins to serve. False when an address can't be bound.
  bool Start();
  // Takes no new requests, finishes all others, and stops. False when the
  // longest wait passed and requests were cut off. `cut_short` is asked
  // while waiting and ends the wait when it returns true.
  bool Drain(const std::function<bool()>& cut_short);

  // Ports after Start, for settings that ask for any port (0).
  [[nodiscard]] int caller_port() const { return this->callers_at; }
  [[nodiscard]] int operator_port() const { return this->operators_at; }
  [[nodiscard]] int peer_port() const { return this->peers_at; }

 private:
  bool StartServers();
  void MakeServers();
  void MakePeers();

  Settings settings;
  std::string process;
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
  std::unique_ptr<CallerFront> caller_front;
  std::unique_ptr<OperatorApi> operator_api;
  std::thread caller_thread;
  std::thread operator_thread;
  int callers_at = 0;
  int operators_at = 0;
  int peers_at = 0;
};

}  // namespace rosemarycove
