// An instance whose configuration and backend servers come from the platform's
// store.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "app/configuration_exchange.h"
#include "app/engine_orders.h"
#include "app/event_log.h"
#include "app/fleet_duties.h"
#include "app/gateway_observer.h"
#include "app/metrics.h"
#include "core/backend_directory.h"
#include "core/configuration_freshness.h"
#include "core/relay_selector.h"
#include "core/relay_throttle.h"
#include "net/fleet_links.h"
#include "proxy/proxy_context.h"
#include "proxy/proxy_server.h"
#include "proxy/status_server.h"
#include "store/document_feed.h"

namespace rosemarycove {

// Decodes the configuration document.
class ConfigurationDecoder {
 public:
  virtual ~ConfigurationDecoder() = default;
  // Returns the configuration, or a description of the error in the value.
  [[nodiscard]] virtual tl::expected<RoutingConfiguration, std::string> Decode(
      const std::string& value) const = 0;
};

// Options of a gateway, read from its settings.
struct GatewayOptions {
  std::string instance;
  std::string data_centre;
  // Addresses to bind, each an IP number and a port. Other instances receive
  // the peer address and connect to it.
  std::string caller_listen_address;
  std::string status_listen_address;
  std::string peer_listen_address;
  // Where other instances send requests that they relay; empty if the instance
  // relays and accepts none.
  std::string relay_listen_address;
  // Peer addresses of instances to contact at the start.
  std::vector<std::string> seeds;
  LeavePolicy leave_policy = LeavePolicy::kWhenItPays;
  RetryBounds retry_budget;
  // Time after SIGTERM at which the platform kills the process.
  Duration shutdown_grace = std::chrono::seconds(8);
  std::size_t max_connections = 1000;
  // Capacity of the machine's network link; 0 if it is unknown.
  std::uint64_t link_bytes_per_second = 0;
  // Budget for what callers and servers make the process hold.
  std::size_t max_body_bytes = std::size_t{64} << 20U;
};

// The platform-specific components. Those referred to must outlive the
// gateway.
struct GatewayPlatform {
  const CallDialect& dialect;
  const ServerDecoder& server_decoder;
  const ConfigurationDecoder& configuration_decoder;
  DocumentStore& configuration_store;
  DocumentStore& server_store;
  // Nullopt if the instance has no duties.
  std::optional<DutyParts> duties;
  // Reads the settings again after SIGHUP. Returns the new options or an error
  // message.
  std::function<tl::expected<GatewayOptions, std::string>()> reload_options;
};

// Runs the data path, the links to other instances and the store feeds on one
// event loop. Everything but the construction happens on the loop's thread.
class Gateway : private FleetReportHandler {
 public:
  Gateway(boost::asio::io_context& io, GatewayOptions options,
          GatewayPlatform platform, EventLog& log);
  ~Gateway() override;

  // Binds all addresses and starts serving. Returns an error message if that
  // fails.
  std::optional<std::string> Start();
  // Runs the event loop until the process may exit. Returns false if open
  // requests were cut off.
  bool Run();
  // Starts the shutdown, as SIGTERM does: the instance stops being ready and
  // finishes its open requests within the shutdown grace.
  void StartDrain();
  [[nodiscard]] bool ready() const;
  [[nodiscard]] const RequestCounts& request_counts() const {
    return this->observer.counts();
  }
  [[nodiscard]] int caller_port() const { return this->proxy_server.port(); }
  [[nodiscard]] int status_port() const { return this->status_server.port(); }
  [[nodiscard]] int peer_port() const { return this->links.port(); }

 private:
  // Receive the documents that the feeds read from the store.
  class ConfigurationListener;
  class DirectoryListener;

  FleetReport MakeReport() override;
  void AddMissingDocuments(const FleetPeer& peer, FleetReport& report) override;
  // True while this instance is one of those that read the directory from the
  // store for the fleet.
  [[nodiscard]] bool IsDirectoryReader(TimePoint now) const;
  // Decides whether the report to this peer includes the servers that the peer
  // doesn't have yet. Directory readers send them to all but new peers;
  // otherwise, instances take turns in sending them to new and lagging peers.
  [[nodiscard]] bool ShouldSendServers(const FleetPeer& peer, TimePoint now);
  // Decides whether it is this instance's turn to send the peer the servers.
  [[nodiscard]] bool IsTurnToSendServers(const FleetPeer& peer, TimePoint now);
  // Reads the configuration if this instance is one of those that wait for
  // changes, reads the directory for the fleet, or can't tell otherwise whether
  // its configuration is the latest one.
  void UpdateConfigurationFeed(TimePoint now);
  void OnConfigurationRead(const ReadResult& reading, TimePoint read_at);
  void OnDirectoryRead(TimePoint now);
  void OnRoundSent() override;
  void OnReport(const FleetPeer& peer, const FleetReport& report) override;
  void OnPeerStatusChange(const FleetPeer& peer, PeerStatus status) override;

  void WaitForSignal();
  void ReloadOptions();
  void ScheduleTick();
  void Tick(TimePoint now);
  // Advances a started drain; stops the event loop once all callers'
  // connections are closed.
  void ContinueDrain(TimePoint now);
  // Ends the requests that are open at the end of the shutdown grace.
  void CutOffRequests(TimePoint now);
  // Puts the configuration in force if its version is higher than that of the
  // current one: the store may come back from a copy that has an older one.
  // `from` is the source for the log: the store or an instance.
  void ApplyConfiguration(const SharedDocument& document,
                          const std::string& from);
  // Logs the changes. Drops the state and connections of servers that
  // restarted or are gone.
  void HandleDirectoryChanges(const std::vector<ServerChange>& changes,
                              const std::string& from);
  void UpdateSuspectedDataCentres();
  // Advances the quarantine, logs its changes and reports them at once.
  void UpdateQuarantine(TimePoint now);
  // Records the software in use and drops the origins of old streams.
  // Updates the time up to which the directory is known to lack nothing.
  void UpdateDirectoryAge(TimePoint now);
  void UpdateSoftware(TimePoint now);
  // Advances the servers' rate limits, and logs and reports their changes.
  void UpdateRateLimits(TimePoint now);
  // The same for brittle servers.
  void UpdateBrittleServers(TimePoint now);
  // Drops what servers that are gone said, and logs the changes.
  void UpdateAvailability(TimePoint now);
  // Returns the id of the server with this LifetimeHash, for the log.
  [[nodiscard]] std::string FindServerId(std::uint64_t lifetime_hash) const;
  // `feed` names the feed that lost or regained the store, `revision` is the
  // last one that it has read.
  void LogStoreLost(const char* feed, const std::string& why,
                    std::uint64_t revision);
  void LogStoreRegained(const char* feed, Duration outage,
                        std::uint64_t revision);
  void LogPartitionChanges();
  // Logs and reports changes of the services in reach.
  void UpdateReach(TimePoint now);
  // Sets the peers that take relayed requests.
  void UpdateRelayPeers(TimePoint now);
  // Adds the orders of engines to the duties if the settings ask for them.
  void StartOrderingEngines();
  // Passes the demand for engines and the registered ones on to EngineOrders.
  void UpdateEngineOrders(TimePoint now);
  void LogDroppedLines(TimePoint now);
  // The version of the configuration in force; 0 if there is none.
  [[nodiscard]] std::uint64_t configuration_version() const;
  [[nodiscard]] std::string MetricsText() const;
  // The part of MetricsText about admission control.
  [[nodiscard]] std::string AdmissionMetrics() const;

  boost::asio::io_context& io;
  GatewayOptions options;
  GatewayPlatform platform;
  EventLog& log;
  Metrics metrics;
  GatewayObserver observer;
  BackendDirectory directory;
  Placer placer;
  RequestQuarantine quarantine;
  SoftwareHistory software_history;
  StreamOrigins stream_origins;
  FleetRetryBudget retry_budget;
  RelaySelector relays;
  KernelPathMonitor paths;
  ConnectionPool pool;
  ProxyContext context;
  ProxyServer proxy_server;
  StatusServer status_server;
  FleetLinks links;
  ConfigurationExchange configuration_exchange;
  // Null if the instance has no duties.
  std::unique_ptr<FleetDuties> duties;
  // Null unless the instance may order engines.
  std::unique_ptr<EngineOrders> engine_orders;
  std::unique_ptr<ConfigurationListener> configuration_listener;
  std::unique_ptr<DirectoryListener> directory_listener;
  DocumentFeed configuration_feed;
  // When this instance last read the configuration from the store.
  TimePoint configuration_read_at;
  ConfigurationFreshness configuration_freshness;
  bool is_configuration_overdue = false;
  DocumentFeed directory_feed;
  boost::asio::steady_timer timer;
  boost::asio::signal_set signals;
  // Highest revision whose configuration was rejected, so that each is logged
  // once.
  std::uint64_t rejected_revision = 0;
  RelayThrottle server_throttle;
  // The last change of the quarantine that each peer was sent, by address.
  std::map<std::string, std::uint64_t> told_suspects;
  std::uint64_t suspect_records_sent = 0;
  TimePoint software_updated_at;
  TimePoint relay_peers_updated_at;
  // The number of own streams that each peer was told, by address.
  std::map<std::string, std::uint64_t> told_streams;
  std::uint64_t stream_origins_sent = 0;
  // When this instance last read the directory from the store itself.
  TimePoint own_directory_read_at;
  // When it did so the time before.
  TimePoint former_directory_read_at;
  // When open requests were first cut off; nullopt before.
  std::optional<TimePoint> cut_off_at;
  // Requests were still open when the shutdown grace ended.
  bool requests_cut_off = false;
  bool stopped = false;
  bool ready_logged = false;
  TimePoint drops_logged_at;
  std::uint64_t logged_drops = 0;
};

}  // namespace rosemarycove
