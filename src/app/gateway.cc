#include "app/gateway.h"

#include <fmt/format.h>

#include <csignal>
#include <random>
#include <utility>

#include "core/store_revision.h"
#include "http/http_status.h"
#include "net/clock.h"
#include "proxy/demand_meter.h"
#include "proxy/endpoint.h"

namespace rosemarycove {
namespace {

using boost::system::error_code;

// Interval of everything that depends on time. It is half of the shortest time
// limit that must be kept, 100 ms.
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// Age at which the first reader reads the directory again. Together with the
// delays of the other readers, the reports between instances and the transit
// time of a request, it keeps within the two seconds for which a server that is
// leaving may still receive requests.
constexpr Duration kDirectoryMaxAge = std::chrono::milliseconds(500);
// Added to this age for each rank of an instance. It is longer than a report
// takes, so that one reader suffices as long as it works.
constexpr Duration kReaderRankDelay = std::chrono::milliseconds(150);
constexpr int kMaxDelayedRank = 3;
// For this long after reading the directory an instance counts as a reader and
// sends it to others. Two readings may fail before the next reader takes over.
constexpr Duration kReaderTerm = std::chrono::milliseconds(1200);
// A peer whose directory is older than this doesn't receive it from a reader,
// whose directory is at most half as old. Other instances with a later revision
// then take turns in sending it.
constexpr Duration kDirectoryLagLimit = std::chrono::milliseconds(1200);
// How long a read of the configuration waits for a change. The configuration
// changes rarely, and an instance also receives it from others.
constexpr Duration kConfigurationWait = std::chrono::seconds(25);
// The same for a directory reader, which is known to reach the store. A wait
// whose response was lost would otherwise delay a configuration by up to 25 s.
// It is a third of the shortest time within which a configuration must be in
// force; a response that is overdue by the margin counts as lost.
constexpr Duration kReaderConfigurationWait = std::chrono::milliseconds(1000);
constexpr Duration kLostResponseMargin = std::chrono::milliseconds(400);
// The other instances read the configuration this long after the last time, in
// case that no watcher reaches them.
constexpr Duration kUnwatchedReadInterval = std::chrono::seconds(60);
// How long callers may still be routed to an instance that is no longer ready.
constexpr Duration kUnreadyDelay = std::chrono::milliseconds(2600);
// End of the shutdown grace that is reserved for an orderly exit.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(500);
// Time for the last bytes to leave the process after the requests that are open
// at the end of the grace were cut off.
constexpr Duration kFlushTime = std::chrono::milliseconds(250);
// Time between two updates of the software in use without a change of servers.
constexpr Duration kSoftwareInterval = std::chrono::milliseconds(500);
// Callers resume a stream at most for this long after its beginning, or for the
// longest timeout of the routes for streams.
constexpr Duration kMinResumptionWindow = std::chrono::seconds(30);
// Time between two updates of the peers that take relayed requests, while all
// services are in reach.
constexpr Duration kRelayPeersInterval = std::chrono::milliseconds(250);
// Minimum time between two log events on dropped lines.
constexpr Duration kDropLogInterval = std::chrono::seconds(5);
// The source of documents that this instance has read itself, in the log.
constexpr char kFromStore[] = "store";

}  // namespace

class Gateway::ConfigurationListener : public FeedListener {
 public:
  explicit ConfigurationListener(Gateway& gateway) : gateway(gateway) {}

  void OnRead(const ReadResult& reading, bool /*whole*/,
              TimePoint read_at) override {
    this->gateway.OnConfigurationRead(reading, read_at);
  }
  void OnStoreUnavailable(const std::string& why) override {
    this->gateway.LogStoreLost(
        "configuration", why,
        this->gateway.configuration_exchange.document().revision);
  }
  void OnStoreAvailable(Duration outage) override {
    this->gateway.LogStoreRegained(
        "configuration", outage,
        this->gateway.configuration_exchange.document().revision);
  }

 private:
  Gateway& gateway;
};

class Gateway::DirectoryListener : public FeedListener {
 public:
  explicit DirectoryListener(Gateway& gateway) : gateway(gateway) {}

  void OnRead(const ReadResult& reading, bool whole,
              TimePoint read_at) override {
    const TimePoint now = MonotonicNow();
    BackendDirectory& directory = this->gateway.directory;
    this->gateway.HandleDirectoryChanges(
        whole ? directory.Replace(reading.documents, reading.as_of_revision,
                                  read_at, now)
              : directory.Apply(reading.documents, reading.as_of_revision,
                                read_at, now),
        "store");
    this->gateway.OnDirectoryRead(now);
  }
  void OnStoreUnavailable(const std::string& why) override {
    this->gateway.LogStoreLost("directory", why,
                               this->gateway.directory.revision());
  }
  void OnStoreAvailable(Duration outage) override {
    this->gateway.LogStoreRegained("directory", outage,
                                   this->gateway.directory.revision());
  }

 private:
  Gateway& gateway;
};

Gateway::Gateway(boost::asio::io_context& io, GatewayOptions gateway_options,
                 GatewayPlatform gateway_platform, EventLog& log)
    : io(io),
      options(std::move(gateway_options)),
      platform(std::move(gateway_platform)),
      log(log),
      observer(log, this->metrics),
      directory(this->platform.server_decoder,
                std::mt19937_64(std::random_device()())()),
      placer({.data_centre = this->options.data_centre,
              .instance = this->options.instance,
              .leave_policy = this->options.leave_policy},
             this->directory),
      quarantine(std::mt19937_64(std::random_device()())()),
      retry_budget(this->options.retry_budget),
      relays(std::mt19937_64(std::random_device()())),
      pool(io, this->paths),
      context{.io = io,
              .dialect = this->platform.dialect,
              .directory = this->directory,
              .placer = this->placer,
              .quarantine = this->quarantine,
              .software_history = this->software_history,
              .stream_origins = this->stream_origins,
              .retry_budget = this->retry_budget,
              .relays = this->relays,
              .pool = this->pool,
              .observer = this->observer,
              .instance = this->options.instance,
              .data_centre = this->options.data_centre,
              .body_budget = BodyBudget(this->options.max_body_bytes)},
      proxy_server({.address = this->options.caller_listen_address,
                    .relay_address = this->options.relay_listen_address,
                    .max_connections = this->options.max_connections},
                   this->context),
      status_server(io),
      links(io,
            {.self = {.instance = this->options.instance,
                      .address = this->options.peer_listen_address,
                      .data_centre = this->options.data_centre,
                      .link_bytes_per_second =
                          this->options.link_bytes_per_second},
             .seeds = this->options.seeds},
            *this),
      configuration_exchange(this->links, log),
      configuration_listener(std::make_unique<ConfigurationListener>(*this)),
      directory_listener(std::make_unique<DirectoryListener>(*this)),
      configuration_feed({.max_wait = kConfigurationWait},
                         this->platform.configuration_store,
                         *this->configuration_listener),
      directory_feed({.refresh_age = kDirectoryMaxAge, .always_read_all = true},
                     this->platform.server_store, *this->directory_listener),
      timer(io),
      signals(io) {
  if (this->platform.duties) {
    this->duties = std::make_unique<FleetDuties>(this->options.instance,
                                                 *this->platform.duties, log);
    this->observer.set_run_counter([this](const std::string& customer) {
      this->duties->CountRequest(customer);
    });
    this->StartOrderingEngines();
  }
}

Gateway::~Gateway() = default;

std::optional<std::string> Gateway::Start() {
  this->status_server.AddPage("/readyz", [this] {
    return StatusPage{.status = this->ready() ? http_status::kOk
                                              : http_status::kUnavailable};
  });
  this->status_server.AddPage(
      "/metrics", [this] { return StatusPage{.body = this->MetricsText()}; });
  if (auto fault =
          this->status_server.Start(this->options.status_listen_address)) {
    return fault;
  }
  if (auto fault = this->proxy_server.Start()) {
    return fault;
  }
  if (const int port = this->proxy_server.relay_port(); port != 0) {
    // With port 0 in the settings, the system chose it.
    const std::string& address = this->options.relay_listen_address;
    this->links.set_relay_address(address.substr(0, address.rfind(':') + 1) +
                                  std::to_string(port));
  }
  if (auto fault = this->links.Start()) {
    return fault;
  }
  this->log.Write(LogEvent::kStarted,
                  {{"data_centre", this->options.data_centre},
                   {"callers_at", this->proxy_server.port()},
                   {"operators_at", this->status_server.port()},
                   {"peers_at", this->links.port()}});
  this->WaitForSignal();
  this->Tick(MonotonicNow());
  this->ScheduleTick();
  return std::nullopt;
}

bool Gateway::Run() {
  this->io.run();
  const std::size_t open_requests = this->proxy_server.active_request_count();
  const std::size_t callers = this->proxy_server.connection_count();
  // Reports what has no outcome, before the counts are logged.
  this->proxy_server.Terminate();
  this->log.Write(LogEvent::kStopped,
                  {{"cut_off", this->requests_cut_off},
                   {"open", open_requests},
                   {"callers", callers},
                   {"read", this->request_counts().read},
                   {"ended", this->request_counts().ended},
                   {"unanswered", this->request_counts().unanswered}});
  return !this->requests_cut_off;
}

bool Gateway::ready() const {
  return this->context.configuration != nullptr &&
         this->directory.revision() != 0 &&
         !this->context.shutdown.has_started() &&
         this->proxy_server.HasRoom(MonotonicNow());
}

void Gateway::WaitForSignal() {
  error_code ignored;
  this->signals.add(SIGTERM, ignored);
  this->signals.add(SIGINT, ignored);
  this->signals.add(SIGHUP, ignored);
  this->signals.async_wait([this](error_code failure, int number) {
    if (failure) {
      return;
    }
    if (number == SIGHUP) {
      this->ReloadOptions();
    } else {
      this->StartDrain();
    }
    this->WaitForSignal();
  });
}

void Gateway::ReloadOptions() {
  const auto new_options = this->platform.reload_options();
  if (!new_options) {
    this->log.Write(LogEvent::kSettingsRefused,
                    {{"fault", new_options.error()}});
    return;
  }
  // The addresses and names are fixed while the process runs; only these limits
  // can change.
  this->options.retry_budget = new_options->retry_budget;
  this->options.shutdown_grace = new_options->shutdown_grace;
  this->retry_budget.set_bounds(new_options->retry_budget);
  this->log.Write(
      LogEvent::kSettingsReloaded,
      {{"retry_ratio", new_options->retry_budget.ratio},
       {"retry_slack", new_options->retry_budget.slack},
       {"grace_ms", ToLogMilliseconds(new_options->shutdown_grace)}});
}

void Gateway::StartDrain() {
  if (this->context.shutdown.has_started()) {
    return;
  }
  this->context.shutdown.Start(this->options.shutdown_grace - kShutdownMargin,
                               MonotonicNow());
  this->context.is_draining = true;
  this->links.ScheduleReport();
  if (this->duties) {
    this->duties->StartStop(MonotonicNow());
  }
  this->log.Write(LogEvent::kDrainStarted,
                  {{"open", this->proxy_server.active_request_count()}});
}

void Gateway::ScheduleTick() {
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](error_code failure) {
    if (failure || this->stopped) {
      return;
    }
    this->Tick(MonotonicNow());
    if (!this->stopped) {
      this->ScheduleTick();
    }
  });
}

void Gateway::Tick(TimePoint now) {
  this->directory_feed.AdvanceTo(this->directory.revision());
  // One of them may be the first to see that the store has come back from a
  // copy, also if others read the directory for this instance.
  this->configuration_feed.NoteEra(this->directory_feed.era());
  this->directory_feed.NoteEra(this->configuration_feed.era());
  this->UpdateConfigurationFeed(now);
  this->directory_feed.Tick(
      now, now - this->directory.read_at(),
      kReaderRankDelay * std::min(this->links.ReaderRank(), kMaxDelayedRank));
  this->HandleDirectoryChanges(this->directory.Tick(now), "grace");
  this->UpdateRateLimits(now);
  this->UpdateBrittleServers(now);
  this->UpdateDirectoryAge(now);
  if (now - this->software_updated_at >= kSoftwareInterval) {
    this->UpdateSoftware(now);
  }
  this->UpdateAvailability(now);
  this->UpdateReach(now);
  if (this->duties) {
    this->duties->Tick(this->links, this->directory_feed.era(), now);
  }
  this->links.Tick(now);
  this->configuration_exchange.Tick(this->configuration_freshness.Age(now),
                                    now);
  this->UpdateRelayPeers(now);
  this->placer.SetFleet(1 + this->links.live_peer_count(),
                        this->links.ReportInterval());
  this->retry_budget.set_instance_count(
      1 + static_cast<int>(this->links.peers().size()));
  if (this->links.Rank() == 0) {
    this->placer.LeadPartitioning();
  }
  this->UpdateSuspectedDataCentres();
  this->UpdateQuarantine(now);
  this->LogPartitionChanges();
  this->UpdateEngineOrders(now);
  AdmitWaiting(this->context);
  this->proxy_server.Tick(now);
  this->pool.CloseExpired(now);
  this->LogDroppedLines(now);
  if (!this->ready_logged && this->ready()) {
    this->ready_logged = true;
    const SharedDocument& configuration =
        this->configuration_exchange.document();
    this->log.Write(LogEvent::kReady,
                    {{"revision", CountOf(configuration.revision)},
                     {"era", EraOf(configuration.revision)}});
  }
  this->ContinueDrain(now);
}

void Gateway::ContinueDrain(TimePoint now) {
  const ShutdownSchedule& shutdown = this->context.shutdown;
  if (!shutdown.has_started()) {
    return;
  }
  const bool is_over = shutdown.IsOver(now);
  if (shutdown.Elapsed(now) < kUnreadyDelay && !is_over) {
    return;
  }
  this->proxy_server.StopAccepting();
  if (is_over) {
    this->CutOffRequests(now);
  } else {
    this->proxy_server.CloseIdle(!shutdown.AcceptsAt(now));
  }
  // Counted from the cut-off itself, since the event loop may be late.
  const bool has_flushed =
      this->cut_off_at && now - *this->cut_off_at >= kFlushTime;
  if (has_flushed) {
    this->proxy_server.CloseIdle(true);
  }
  const bool has_ended = this->proxy_server.connection_count() == 0 &&
                         (!this->duties || this->duties->IsStopped(now));
  if (has_ended || has_flushed) {
    this->stopped = true;
    this->io.stop();
  }
}

void Gateway::CutOffRequests(TimePoint now) {
  if (!this->cut_off_at) {
    this->cut_off_at = now;
  }
  const std::size_t open_requests = this->proxy_server.active_request_count();
  if (!this->requests_cut_off && open_requests > 0) {
    this->requests_cut_off = true;
    this->log.Write(LogEvent::kDrainCutOff, {{"lost", open_requests}});
  }
  this->proxy_server.Shutdown();
}

void Gateway::ApplyConfiguration(const SharedDocument& document,
                                 const std::string& from) {
  if (document.is_removed) {
    return;
  }
  auto decoded = this->platform.configuration_decoder.Decode(document.value);
  if (!decoded) {
    if (document.revision > this->rejected_revision) {
      this->rejected_revision = document.revision;
      this->log.Write(LogEvent::kConfigurationRefused,
                      {{"version", CountOf(document.revision)},
                       {"era", EraOf(document.revision)},
                       {"fault", decoded.error()},
                       {"from", from}});
    }
    return;
  }
  const std::uint64_t old_version = this->configuration_version();
  if (this->context.configuration && decoded->version <= old_version) {
    return;
  }
  this->context.configuration =
      std::make_shared<const RoutingConfiguration>(std::move(*decoded));
  this->configuration_exchange.SetInForce(document,
                                          this->configuration_version(),
                                          from == kFromStore, MonotonicNow());
  this->log.Write(LogEvent::kConfigurationInForce,
                  {{"revision", CountOf(document.revision)},
                   {"era", EraOf(document.revision)},
                   {"version", this->context.configuration->version},
                   {"version_before", old_version},
                   {"routes", this->context.configuration->routes.size()},
                   {"from", from}});
}

void Gateway::LogStoreLost(const char* feed, const std::string& why,
                           std::uint64_t revision) {
  this->log.Write(LogEvent::kStoreUnavailable, {{"reader", feed},
                                                {"why", why},
                                                {"revision", CountOf(revision)},
                                                {"era", EraOf(revision)}});
}

void Gateway::LogStoreRegained(const char* feed, Duration outage,
                               std::uint64_t revision) {
  this->log.Write(LogEvent::kStoreAvailable,
                  {{"reader", feed},
                   {"away_ms", ToLogMilliseconds(outage)},
                   {"revision", CountOf(revision)},
                   {"era", EraOf(revision)}});
}

void Gateway::HandleDirectoryChanges(const std::vector<ServerChange>& changes,
                                     const std::string& from) {
  for (const ServerChange& item : changes) {
    if (item.kind == ServerChangeKind::kRestarted ||
        item.kind == ServerChangeKind::kGone) {
      this->placer.Forget(item.server.id);
      this->pool.CloseIdleTo(item.server.id);
    }
    LogFields fields = {{"server", item.server.id},
                        {"change", ToString(item.kind)},
                        {"service", item.server.service},
                        {"address", item.server.address},
                        {"data_centre", item.server.data_centre},
                        {"software", item.server.software_version},
                        {"revision", CountOf(item.revision)},
                        {"era", EraOf(item.revision)},
                        {"from", from}};
    if (item.kind == ServerChangeKind::kUnreadable) {
      fields["fault"] = item.fault;
    }
    this->log.Write(LogEvent::kServerChanged, fields);
  }
  if (!changes.empty()) {
    this->UpdateSoftware(MonotonicNow());
  }
}

void Gateway::UpdateSuspectedDataCentres() {
  std::set<std::string> silent = this->links.SilentDataCentres();
  if (silent == this->placer.suspected_data_centres()) {
    return;
  }
  this->log.Write(LogEvent::kDataCentresSuspected,
                  {{"silent", silent},
                   {"before", this->placer.suspected_data_centres()},
                   {"peers", this->links.live_peer_count()}});
  this->placer.SetSuspectedDataCentres(std::move(silent));
}

void Gateway::LogPartitionChanges() {
  for (const PartitionChange& item : this->placer.TakePartitionChanges()) {
    this->log.Write(LogEvent::kPartitionChanged,
                    {{"service", item.service},
                     {"reserved_share", item.reserved_share},
                     {"before", item.previous_share},
                     {"decided_here", item.is_leader}});
  }
}

void Gateway::UpdateReach(TimePoint now) {
  for (const ReachChange& item : this->placer.reach().TakeChanges(now)) {
    LogFields fields = {
        {"service", item.service},
        {"change", item.is_out_of_reach ? "out_of_reach" : "in_reach"},
        {"since_ms", ToLogMilliseconds(item.since)},
        {"servers_failed", item.servers_failed},
        {"servers", item.servers}};
    if (item.last_contact) {
      fields["last_contact_ms"] = ToLogMilliseconds(*item.last_contact);
    }
    this->log.Write(LogEvent::kServiceReach, fields);
    this->links.ScheduleReport();
  }
}

void Gateway::UpdateRelayPeers(TimePoint now) {
  const bool is_due =
      now - this->relay_peers_updated_at >= kRelayPeersInterval ||
      !this->placer.reach().ServicesOutOfReach(now).empty();
  if (this->options.relay_listen_address.empty() || !is_due) {
    return;
  }
  this->relay_peers_updated_at = now;
  std::vector<RelayCandidate> candidates;
  for (const FleetPeer* peer : this->links.ServingPeers()) {
    if (ParseTcpEndpoint(peer->identity.relay_address)) {
      candidates.push_back(
          {.peer = {.instance = peer->identity.instance,
                    .address = peer->identity.relay_address,
                    .data_centre = peer->identity.data_centre,
                    .configuration_version = peer->configuration_version},
           .unreachable_services = peer->unreachable_services});
    }
  }
  this->relays.SetPeers(std::move(candidates));
}

void Gateway::UpdateQuarantine(TimePoint now) {
  this->quarantine.SetTrialRank(this->links.Rank());
  this->quarantine.Tick(now);
  for (const QuarantineChange& item : this->quarantine.TakeChanges()) {
    this->log.Write(LogEvent::kQuarantine,
                    {{"suspect", FormatPartId(item.suspect)},
                     {"change", ToString(item.kind)},
                     {"crashes", item.crashes},
                     {"remaining_ms", ToLogMilliseconds(item.remaining)}});
    this->links.ScheduleReport();
  }
}

void Gateway::UpdateRateLimits(TimePoint now) {
  ServerRateLimits& limits = this->placer.rate_limits();
  limits.SetFleet(this->links.SendingPeers(), this->links.HearsAllPeers(), now);
  limits.Tick(now);
  this->placer.ExpireRateLimits(now);
  this->context.admission.Expire(now);
  const auto format = [](std::optional<double> per_second) {
    return per_second ? fmt::format("{}", *per_second) : std::string("none");
  };
  for (const RateLimitChange& item : limits.TakeChanges()) {
    this->log.Write(LogEvent::kServerLimit,
                    {{"server", this->FindServerId(item.server_hash)},
                     {"limit", format(item.per_second)},
                     {"before", format(item.previous)},
                     {"from", item.from.empty() ? "response" : item.from},
                     {"age_ms", ToLogMilliseconds(item.age)}});
  }
  if (limits.HasUrgentReport()) {
    this->links.ScheduleReport();
  }
}

void Gateway::UpdateBrittleServers(TimePoint now) {
  BrittleServers& brittle = this->placer.brittle_servers();
  if (brittle.empty()) {
    return;
  }
  brittle.SetFleet(this->links.SendingPeers(), this->links.HearsAllPeers(),
                   this->links.ReportInterval());
  brittle.Tick(this->directory.servers(), now);
  const auto format = [](std::optional<int> tolerated) {
    return tolerated ? fmt::format("{}", *tolerated) : std::string("none");
  };
  for (const BrittlenessChange& item : brittle.TakeChanges()) {
    this->log.Write(LogEvent::kServerBrittle,
                    {{"server", this->FindServerId(item.server_hash)},
                     {"tolerated", format(item.tolerated)},
                     {"before", format(item.previous)},
                     {"from", item.from.empty() ? "response" : item.from},
                     {"age_ms", ToLogMilliseconds(item.age)}});
  }
  if (brittle.HasUrgentReport()) {
    this->links.ScheduleReport();
  }
}

void Gateway::UpdateDirectoryAge(TimePoint now) {
  // While all instances lack the store, the directory ages, but nobody else has
  // a later one either.
  this->context.directory_current_at =
      std::max(this->directory.read_at(),
               this->links.EarliestLastReport(this->directory.revision(), now)
                   .value_or(TimePoint{}));
}

void Gateway::UpdateSoftware(TimePoint now) {
  if (this->directory.revision() == 0) {
    return;
  }
  this->software_updated_at = now;
  const bool is_current =
      now - this->context.directory_current_at <= kMaxDirectoryAge;
  if (this->context.configuration) {
    this->software_history.SetWindow(
        std::max(kMinResumptionWindow,
                 this->context.configuration->LongestStreamTimeout()));
  }
  this->software_history.Update(this->directory.servers(), is_current, now);
  this->stream_origins.Expire(this->software_history.resumption_window(), now);
}

void Gateway::UpdateAvailability(TimePoint now) {
  ServerAvailability& availability = this->placer.availability();
  availability.Tick(this->directory.servers(), now);
  for (const AvailabilityChange& item : availability.TakeChanges()) {
    const bool is_leaving = item.kind == AvailabilityChangeKind::kLeaving ||
                            item.kind == AvailabilityChangeKind::kForgotten;
    LogFields fields = {{"server", item.server},
                        {"change", ToString(item.kind)}};
    if (item.kind == AvailabilityChangeKind::kPaused) {
      fields["asked_ms"] = ToLogMilliseconds(item.asked);
      fields["remaining_ms"] = ToLogMilliseconds(item.remaining);
    }
    this->log.Write(
        is_leaving ? LogEvent::kServerLeaving : LogEvent::kServerPause, fields);
  }
}

std::string Gateway::FindServerId(std::uint64_t lifetime_hash) const {
  for (const auto& [id, server] : this->directory.servers()) {
    if (LifetimeHash(id, server.incarnation) == lifetime_hash) {
      return id;
    }
  }
  return fmt::format("unregistered:{:x}", lifetime_hash);
}

void Gateway::StartOrderingEngines() {
  const DutyOptions& duty_options = this->platform.duties->options;
  if (!duty_options.orders_engines) {
    return;
  }
  this->engine_orders = std::make_unique<EngineOrders>(
      EngineOrdersOptions{.instance = this->options.instance,
                          .data_centre = this->options.data_centre,
                          .calls_per_second = duty_options.calls_per_second},
      this->duties->calls(), this->duties->task_store(), this->log);
  this->duties->AddTask(*this->engine_orders);
}

void Gateway::UpdateEngineOrders(TimePoint now) {
  if (!this->engine_orders || !this->engine_orders->IsObservationDue(now)) {
    return;
  }
  FleetView fleet{.configuration = this->context.configuration,
                  .own_demand = MeasureDemand(this->context, now)};
  if (this->directory.revision() != 0) {
    fleet.servers = &this->directory.servers();
  }
  for (const std::string& name : this->links.SendingPeers()) {
    fleet.other_instances.emplace_back(
        name, this->links.peers().at(name).identity.data_centre);
  }
  this->engine_orders->Observe(std::move(fleet), now);
}

void Gateway::LogDroppedLines(TimePoint now) {
  const std::uint64_t dropped = this->log.dropped();
  if (dropped == this->logged_drops ||
      now - this->drops_logged_at < kDropLogInterval) {
    return;
  }
  this->log.Write(
      LogEvent::kLinesDropped,
      {{"since_last", dropped - this->logged_drops}, {"all", dropped}});
  this->logged_drops = dropped;
  this->drops_logged_at = now;
}

bool Gateway::IsDirectoryReader(TimePoint now) const {
  return now - this->own_directory_read_at <= kReaderTerm;
}

bool Gateway::ShouldSendServers(const FleetPeer& peer, TimePoint now) {
  // A peer without a directory has just started, perhaps together with all
  // others, and is about to read the store itself.
  const bool is_new = peer.directory_revision == 0;
  if (!is_new && this->IsDirectoryReader(now)) {
    return true;
  }
  if (!is_new && now - peer.directory_read_at <= kDirectoryLagLimit) {
    return false;
  }
  return this->IsTurnToSendServers(peer, now);
}

bool Gateway::IsTurnToSendServers(const FleetPeer& peer, TimePoint now) {
  const int rank = this->links.SenderRank(peer, [this](const FleetPeer& other) {
    return other.directory_revision >= this->directory.revision();
  });
  return this->server_throttle.MaySend(peer.identity.address,
                                       peer.directory_revision, rank, now);
}

FleetReport Gateway::MakeReport() {
  const TimePoint now = MonotonicNow();
  std::vector<std::uint64_t> unreachable_services;
  for (const std::string& service :
       this->placer.reach().ServicesOutOfReach(now)) {
    unreachable_services.push_back(IdHash(service));
  }
  FleetReport report{
      .is_draining = this->context.is_draining,
      .configuration_age = this->configuration_freshness.Age(now),
      .directory_revision = this->directory.revision(),
      .directory_age = now - this->directory.read_at(),
      .directory_read_id = this->directory.last_read_id(),
      .server_loads = this->placer.ledger().OwnLoads(),
      .partitions = this->placer.Partitions(now),
      .rate_limits = this->placer.rate_limits().Reports(false, now),
      .cached_parts = this->placer.caches().untold(),
      .unreachable_services = std::move(unreachable_services),
      .brittle_servers = this->placer.brittle_servers().Reports(false, now),
      .admission = this->context.admission.Report(now),
      .speed_samples = this->placer.engine_speed().Untold(),
      // Without documents, the update only renews the age of a directory
      // that is complete up to this revision.
      .directory_update = {.base_revision = this->directory.revision()}};
  this->configuration_exchange.AddState(report);
  return report;
}

void Gateway::AddMissingDocuments(const FleetPeer& peer, FleetReport& report) {
  const TimePoint now = MonotonicNow();
  std::uint64_t& told = this->told_suspects[peer.identity.address];
  if (report.identity) {
    report.rate_limits = this->placer.rate_limits().Reports(true, now);
    report.brittle_servers = this->placer.brittle_servers().Reports(true, now);
    report.suspected_parts = this->quarantine.Records(now);
    told = this->quarantine.last_change();
  } else {
    report.suspected_parts = this->quarantine.RecordsSince(told, now);
  }
  this->suspect_records_sent += report.suspected_parts.size();
  std::uint64_t& told_streams = this->told_streams[peer.identity.address];
  if (report.identity) {
    report.software = this->software_history.Report(now);
    told_streams = 0;
  }
  if (!this->software_history.IsSettled(
          now - this->context.directory_current_at, now)) {
    report.stream_origins = this->stream_origins.AddedSince(told_streams);
    told_streams = this->stream_origins.added_count();
    this->stream_origins_sent += report.stream_origins.size();
  }
  if (this->duties) {
    this->duties->CompleteReport(peer, report, now);
  }
  if (this->engine_orders && this->duties->NeedsHolderData(peer, now)) {
    report.engine_demand = MeasureDemand(this->context, now);
  }
  this->configuration_exchange.AddDocument(peer, report, now);
  if (this->directory.revision() <= peer.directory_revision) {
    this->server_throttle.MarkUpToDate(peer.identity.address);
  } else if (this->ShouldSendServers(peer, now)) {
    report.directory_update =
        this->directory.UpdateSince(peer.directory_revision);
  }
}

void Gateway::UpdateConfigurationFeed(TimePoint now) {
  const int rank = this->links.ReaderRank();
  const bool is_overdue = this->configuration_freshness.MustRead(rank, now);
  if (is_overdue != this->is_configuration_overdue) {
    this->is_configuration_overdue = is_overdue;
    const auto age = this->configuration_freshness.Age(now);
    this->log.Write(LogEvent::kConfigurationOverdue,
                    {{"reads", is_overdue},
                     {"age_ms", age ? ToLogMilliseconds(*age) : -1},
                     {"version", this->configuration_version()},
                     {"rank", rank},
                     {"peers", this->links.live_peer_count()}});
  }
  this->configuration_feed.SetOverdue(is_overdue);
  this->configuration_feed.SetMaxWait(this->IsDirectoryReader(now)
                                          ? kReaderConfigurationWait
                                          : kConfigurationWait);
  // Who reads the directory for the fleet is known to reach the store. A single
  // read may be due to a late report.
  const bool reads_for_fleet =
      this->IsDirectoryReader(now) &&
      this->directory.read_at() <= this->own_directory_read_at &&
      this->own_directory_read_at - this->former_directory_read_at <=
          kReaderTerm;
  const bool waits_for_changes =
      reads_for_fleet ||
      this->configuration_exchange.WaitsAtStore(this->links.self());
  this->configuration_feed.Tick(
      now, now - this->configuration_read_at,
      waits_for_changes ? Duration{} : kUnwatchedReadInterval);
}

void Gateway::OnConfigurationRead(const ReadResult& reading,
                                  TimePoint read_at) {
  this->configuration_read_at = MonotonicNow();
  for (const SharedDocument& document : reading.documents) {
    this->ApplyConfiguration(document, kFromStore);
  }
  this->configuration_freshness.RecordRead(
      read_at, this->rejected_revision <=
                   this->configuration_exchange.document().revision);
  if (this->is_configuration_overdue) {
    this->links.ScheduleReport();
  }
}

void Gateway::OnDirectoryRead(TimePoint now) {
  this->former_directory_read_at =
      std::exchange(this->own_directory_read_at, now);
  this->configuration_feed.RestartStalledRead(
      kReaderConfigurationWait + kLostResponseMargin, now);
  this->links.ScheduleReport();
}

void Gateway::OnRoundSent() {
  this->placer.rate_limits().RecordReportSent();
  this->placer.brittle_servers().RecordReportSent();
  this->placer.caches().MarkTold();
  this->context.admission.RecordReportSent();
  this->placer.engine_speed().MarkTold();
}

void Gateway::OnReport(const FleetPeer& peer, const FleetReport& report) {
  const TimePoint now = MonotonicNow();
  if (const auto document =
          this->configuration_exchange.Receive(peer, report)) {
    this->ApplyConfiguration(*document, peer.identity.instance);
  }
  this->configuration_freshness.RecordReport(
      {.version = report.configuration_version,
       .age = report.configuration_age},
      this->configuration_version(), now);
  if (report.is_configuration_only) {
    return;
  }
  this->placer.ledger().SetPeerLoads(peer.identity.instance,
                                     report.server_loads, now);
  this->placer.SetPeerWork(peer.identity.instance, report.partitions, now);
  this->placer.caches().Merge(report.cached_parts, now);
  this->context.admission.ApplyReport(peer.identity.instance, report.admission,
                                      now);
  this->placer.engine_speed().Merge(report.speed_samples, now);
  this->quarantine.Merge(report.suspected_parts, now);
  if (report.software) {
    this->software_history.Merge(*report.software, now);
  }
  this->stream_origins.Merge(report.stream_origins, now);
  this->placer.rate_limits().Merge(peer.identity.instance, report.rate_limits,
                                   report.identity.has_value(), now);
  this->placer.brittle_servers().Merge(peer.identity.instance,
                                       report.brittle_servers, now);
  if (this->duties) {
    this->duties->OnReport(peer, report, now);
  }
  if (this->engine_orders && report.engine_demand) {
    this->engine_orders->RecordReport(peer.identity.instance,
                                      peer.identity.data_centre,
                                      *report.engine_demand, now);
  }
  if (this->links.RanksFirst(peer.identity.instance)) {
    this->placer.FollowPartitions(report.partitions);
  }
  this->HandleDirectoryChanges(
      this->directory.ApplyUpdate(
          report.directory_update, report.directory_revision,
          report.directory_read_id, now - report.directory_age, now),
      peer.identity.instance);
}

void Gateway::OnPeerStatusChange(const FleetPeer& peer, PeerStatus status) {
  if (status == PeerStatus::kGone) {
    this->told_suspects.erase(peer.identity.address);
    this->told_streams.erase(peer.identity.address);
    if (this->engine_orders) {
      this->engine_orders->RemoveInstance(peer.identity.instance);
    }
  }
  this->relay_peers_updated_at = {};
  if (this->duties) {
    this->duties->OnPeerStatusChange(peer, status);
  }
  if (status != PeerStatus::kUp) {
    this->placer.RemovePeer(peer.identity.instance);
    this->context.admission.RemovePeer(peer.identity.instance);
  }
  this->log.Write(
      status == PeerStatus::kUp ? LogEvent::kPeerUp : LogEvent::kPeerDown,
      {{"peer", peer.identity.instance},
       {"data_centre", peer.identity.data_centre},
       {"reason", ToString(status)},
       {"leaving", peer.is_draining},
       {"live", this->links.live_peer_count()}});
}

std::uint64_t Gateway::configuration_version() const {
  return this->context.configuration ? this->context.configuration->version : 0;
}

std::string Gateway::AdmissionMetrics() const {
  const AdmissionController& admission = this->context.admission;
  std::string text = fmt::format(
      "# TYPE rosemarycove_awaited_returns gauge\n"
      "rosemarycove_awaited_returns {}\n",
      admission.promise_count());
  const auto add = [&text](const char* name,
                           const std::map<Standing, std::uint64_t>& counts) {
    text += fmt::format("# TYPE {} counter\n", name);
    for (const auto& [standing, count] : counts) {
      text += fmt::format("{}{{standing=\"{}\"}} {}\n", name,
                          ToString(standing), count);
    }
  };
  add("rosemarycove_admission_arrivals_total", admission.counts().arrivals);
  add("rosemarycove_admission_refusals_total", admission.counts().refusals);
  return text;
}

std::string Gateway::MetricsText() const {
  std::string text = this->metrics.ToPrometheus(
      MonotonicNow(), this->context.waiting_requests.size(),
      this->proxy_server.active_request_count());
  const auto add = [&text](const char* name, std::uint64_t value) {
    text += std::string("# TYPE ") + name + " gauge\n" + name + " " +
            std::to_string(value) + "\n";
  };
  add("rosemarycove_caller_connections", this->proxy_server.connection_count());
  add("rosemarycove_requests_read_total", this->request_counts().read);
  add("rosemarycove_requests_ended_total", this->request_counts().ended);
  add("rosemarycove_requests_unanswered_total",
      this->request_counts().unanswered);
  add("rosemarycove_requests_not_handled_caller_gone_total",
      this->request_counts().callers_gone);
  add("rosemarycove_connections_closed_for_room_total",
      this->request_counts().connections_closed);
  const BodyBudget& budget = this->context.body_budget;
  add("rosemarycove_held_bytes", budget.held_bytes());
  add("rosemarycove_requests_waiting_for_memory", budget.waiting_count());
  add("rosemarycove_requests_stopped_no_progress_total",
      budget.stopped_count(BudgetCause::kNoProgress));
  add("rosemarycove_requests_stopped_waited_too_long_total",
      budget.stopped_count(BudgetCause::kWaitedTooLong));
  add("rosemarycove_requests_stopped_too_many_waiting_total",
      budget.stopped_count(BudgetCause::kTooManyWaiting));
  add("rosemarycove_requests_stopped_exhausted_total",
      budget.stopped_count(BudgetCause::kExhausted));
  add("rosemarycove_relay_peers", this->relays.peer_count());
  add("rosemarycove_requests_relayed_total",
      this->request_counts().relayed_out);
  add("rosemarycove_relayed_requests_total", this->request_counts().relayed_in);
  text += this->observer.left().ToPrometheus();
  add("rosemarycove_idle_backend_connections", this->pool.idle_count());
  add("rosemarycove_backend_servers", this->directory.servers().size());
  add("rosemarycove_quarantined_parts",
      static_cast<std::uint64_t>(this->quarantine.quarantined_count()));
  add("rosemarycove_limited_servers",
      static_cast<std::uint64_t>(this->placer.rate_limits().limited_count()));
  add("rosemarycove_brittle_servers",
      static_cast<std::uint64_t>(
          this->placer.brittle_servers().brittle_count()));
  add("rosemarycove_leaving_servers",
      static_cast<std::uint64_t>(this->placer.availability().leaving_count()));
  add("rosemarycove_paused_servers",
      static_cast<std::uint64_t>(
          this->placer.availability().paused_count(MonotonicNow())));
  const ServerReach& reach = this->placer.reach();
  add("rosemarycove_services_out_of_reach",
      reach.ServicesOutOfReach(MonotonicNow()).size());
  add("rosemarycove_servers_out_of_reach",
      static_cast<std::uint64_t>(reach.ServersOutOfReach(MonotonicNow())));
  add("rosemarycove_peers",
      static_cast<std::uint64_t>(this->links.live_peer_count()));
  add("rosemarycove_configuration_version", this->configuration_version());
  // An unknown age has no value.
  if (const auto age = this->configuration_freshness.Age(MonotonicNow())) {
    add("rosemarycove_configuration_age_ms",
        static_cast<std::uint64_t>(ToLogMilliseconds(*age)));
  }
  add("rosemarycove_store_readings_total",
      this->configuration_feed.call_count() +
          this->directory_feed.call_count());
  add("rosemarycove_peer_bytes_sent_total", this->links.bytes_sent());
  add("rosemarycove_configuration_bytes_sent_total",
      this->configuration_exchange.sent_bytes());
  add("rosemarycove_suspect_records_sent_total", this->suspect_records_sent);
  add("rosemarycove_known_streams", this->stream_origins.size());
  add("rosemarycove_stream_origins_sent_total", this->stream_origins_sent);
  text += this->AdmissionMetrics();
  add("rosemarycove_oldest_peer_report_ms",
      static_cast<std::uint64_t>(
          ToLogMilliseconds(this->placer.ledger().MaxPeerAge(MonotonicNow()))));
  add("rosemarycove_log_lines_dropped_total", this->log.dropped());
  if (this->duties) {
    text += this->duties->MetricsText(MonotonicNow());
  }
  AppendDemandMetrics(text, this->context, MonotonicNow());
  if (this->engine_orders) {
    this->engine_orders->AppendMetrics(text, MonotonicNow());
  }
  return text;
}

}  // namespace rosemarycove
