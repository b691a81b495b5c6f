// An instance whose resources and servers come from a platform's store.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "app/event_log.h"
#include "app/gateway_observer.h"
#include "app/metrics.h"
#include "core/backend_directory.h"
#include "core/passing_turns.h"
#include "net/fleet_links.h"
#include "proxy/proxy_context.h"
#include "proxy/proxy_server.h"
#include "proxy/status_server.h"
#include "store/document_feed.h"

namespace rosemarycove {

// Reads the value of the configuration document.
class ConfigurationDecoder {
 public:
  virtual ~ConfigurationDecoder() = default;
  // The configuration, or what is wrong with the value.
  [[nodiscard]] virtual tl::expected<RoutingConfiguration, std::string> Decode(
      const std::string& value) const = 0;
};

// What a gateway learns from its settings.
struct GatewayOptions {
  std::string instance;
  std::string data_centre;
  // IP numbers and ports.
  std::string caller_listen_address;
  std::string status_listen_address;
  std::string peer_listen_address;
  std::vector<std::string> seeds;
  RetryBounds retry_budget;
  // After SIGTERM the process is killed at the end of this.
  Duration shutdown_grace = std::chrono::seconds(8);
  std::size_t max_connections = 1000;
  std::size_t max_body_bytes = std::size_t{64} << 20U;
};

// The parts that know the platform.
struct GatewayPlatform {
  const CallDialect& dialect;
  const ServerDecoder& server_decoder;
  const ConfigurationDecoder& configuration_decoder;
  DocumentStore& configuration_store;
  DocumentStore& server_store;
  // Reads the settings again after SIGHUP; the fault, or the new options.
  std::function<tl::expected<GatewayOptions, std::string>()> reload_options;
};

// Runs the data path, the links and the feeds in one event loop.
class Gateway : private FleetHost {
 public:
  Gateway(boost::asio::io_context& io, GatewayOptions options,
          GatewayPlatform platform, EventLog& log);
  ~Gateway() override;

  // Binds all addresses; returns the fault, or nothing.
  std::optional<std::string> Start();
  // Returns once the process may end: true when nothing was cut off.
  bool Run();
  // Begins to leave, as SIGTERM does.
  void StartDrain();
  [[nodiscard]] bool ready() const;
  [[nodiscard]] int caller_port() const { return this->callers.port(); }
  [[nodiscard]] int status_port() const { return this->status.port(); }
  [[nodiscard]] int peer_port() const { return this->links.port(); }

 private:
  // Takes what the feed of the configuration brings.
  class ConfigurationListener;
  class DirectoryListener;

  FleetReport MakeReport() override;
  void AddMissingDocuments(const FleetPeer& peer, FleetReport& report) override;
  // Whether this instance is one of those who read the directory now.
  [[nodiscard]] bool ReadsStore(TimePoint now) const;
  // Whether a report for this peer holds the servers that it lacks: those who
  // read the store pass them on, others only to a peer that lags.
  [[nodiscard]] bool PassesOnServers(const FleetPeer& peer, TimePoint now);
  // Whether it is this instance's turn to pass on to the peer what is known up
  // to `revision`; `known` is up to where a peer knows it.
  [[nodiscard]] bool HasTurn(PassingTurns& turns, const FleetPeer& peer,
                             std::uint64_t FleetPeer::*known,
                             std::uint64_t revision, TimePoint now) const;
  void NoteDirectoryRead(TimePoint now);
  void OnReport(const FleetPeer& peer, const FleetReport& report) override;
  void OnPeerStatusChange(const FleetPeer& peer, PeerStatus news) override;

  void AwaitSignals();
  void Reload();
  void AwaitTick();
  void Tick(TimePoint now);
  void LeaveWhenDone(TimePoint now);
  void Adopt(const SharedDocument& document, const std::string& from);
  void LogNews(const std::vector<DirectoryNews>& news, const std::string& from);
  void NoteSuspicion();
  // `reader`: which copy of the store's documents; `revision`: up to where.
  void LogStoreLost(const char* reader, const std::string& why,
                    std::uint64_t revision);
  void LogStoreRegained(const char* reader, Duration away,
                        std::uint64_t revision);
  void NoteDroppedLines(TimePoint now);
  [[nodiscard]] std::string MetricsText() const;

  boost::asio::io_context& io;
  GatewayOptions options;
  GatewayPlatform platform;
  EventLog& log;
  Metrics metrics;
  GatewayObserver observer;
  BackendDirectory directory;
  Placer placer;
  FleetRetryBudget budget;
  ConnectionPool pool;
  ProxyContext context;
  ProxyServer callers;
  StatusServer status;
  FleetLinks links;
  std::unique_ptr<ConfigurationListener> configuration_listener;
  std::unique_ptr<DirectoryListener> directory_listener;
  DocumentFeed configuration_feed;
  DocumentFeed directory_feed;
  boost::asio::steady_timer timer;
  boost::asio::signal_set signals;
  // As it stands in the store, for other instances.
  SharedDocument configuration_document;
  std::uint64_t refused_revision = 0;
  PassingTurns configuration_turns;
  PassingTurns server_turns;
  // When this instance itself last read the directory.
  TimePoint directory_read_here;
  std::optional<TimePoint> leaving_since;
  std::optional<TimePoint> closing_since;
  bool cut_off = false;
  bool done = false;
  bool told_ready = false;
  TimePoint last_drop_note;
  std::uint64_t dropped_noted = 0;
};

}  // namespace rosemarycove
