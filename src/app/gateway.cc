#include "app/gateway.h"

#include <csignal>
#include <random>
#include <utility>

#include "http/http_status.h"

namespace rosemarycove {
namespace {

using boost::system::error_code;

// How often what depends on time is looked at: half of the shortest time
// limit that has to be kept, a tenth of a second.
constexpr Duration kTick = std::chrono::milliseconds(50);
// The servers' entries are read when the copy is this old. With the pauses of
// later readers, the reports between instances and a request's way this keeps
// within the two seconds that a leaving server may still get requests.
constexpr Duration kDirectoryAge = std::chrono::milliseconds(500);
// The next instance reads when the copy grows older by this: longer than a
// report takes, so that one reader is enough while it lives.
constexpr Duration kNextReader = std::chrono::milliseconds(150);
constexpr int kMostReaderRanks = 3;
// An instance that read the directory this long ago still passes it on: two
// readings may fail before the next reader takes over.
constexpr Duration kReaderTerm = std::chrono::milliseconds(1200);
// A copy that is older than this did not come from the reader, whose copies are
// at most half as old; others who know more pass it on by turns.
constexpr Duration kLaggingDirectory = std::chrono::milliseconds(1200);
// The configuration changes seldom, and other instances pass it on.
constexpr Duration kConfigurationWait = std::chrono::seconds(25);
// The instance that reads the directory, and so reaches the store, waits this
// long: a third of the shortest time in which a configuration has to be in
// force, with what it takes to notice that an answer was lost.
constexpr Duration kReadersConfigurationWait = std::chrono::milliseconds(1000);
constexpr Duration kLostAnswer = std::chrono::milliseconds(400);
// Callers are sent here for this long after the instance stopped being ready.
constexpr Duration kStillSent = std::chrono::milliseconds(2600);
// Left of the grace, to end in order.
constexpr Duration kGraceMargin = std::chrono::milliseconds(500);
// For the last bytes to leave the process.
constexpr Duration kFlush = std::chrono::milliseconds(100);
// Between two notes of dropped log lines.
constexpr Duration kDropNotes = std::chrono::seconds(5);

}  // namespace

class Gateway::ConfigurationListener : public FeedListener {
 public:
  explicit ConfigurationListener(Gateway& gateway) : gateway(gateway) {}

  void OnRead(const ReadResult& reading, bool /*whole*/,
              TimePoint /*read_at*/) override {
    for (const SharedDocument& document : reading.documents) {
      this->gateway.Adopt(document, "store");
    }
  }
  void OnStoreUnavailable(const std::string& why) override {
    this->gateway.LogStoreLost("configuration", why,
                               this->gateway.configuration_document.revision);
  }
  void OnStoreAvailable(Duration away) override {
    this->gateway.LogStoreRegained(
        "configuration", away, this->gateway.configuration_document.revision);
  }

 private:
  Gateway& gateway;
};

class Gateway::DirectoryListener : public FeedListener {
 public:
  explicit DirectoryListener(Gateway& gateway) : gateway(gateway) {}

  void OnRead(const ReadResult& reading, bool whole,
              TimePoint read_at) override {
    const TimePoint now = std::chrono::steady_clock::now();
    BackendDirectory& directory = this->gateway.directory;
    this->gateway.LogNews(
        whole ? directory.Replace(reading.documents, reading.as_of_revision,
                                  read_at, now)
              : directory.Apply(reading.documents, reading.as_of_revision,
                                read_at, now),
        "store");
    this->gateway.NoteDirectoryRead(now);
  }
  void OnStoreUnavailable(const std::string& why) override {
    this->gateway.LogStoreLost("directory", why,
                               this->gateway.directory.as_of());
  }
  void OnStoreAvailable(Duration away) override {
    this->gateway.LogStoreRegained("directory", away,
                                   this->gateway.directory.as_of());
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
              .instance = this->options.instance},
             this->directory),
      budget(this->options.retry_budget),
      pool(io),
      context{.io = io,
              .dialect = this->platform.dialect,
              .directory = this->directory,
              .placer = this->placer,
              .budget = this->budget,
              .pool = this->pool,
              .observer = this->observer,
              .most_body_bytes = this->options.max_body_bytes},
      callers({.address = this->options.caller_listen_address,
               .most_connections = this->options.max_connections},
              this->context),
      status(io),
      links(io,
            {.self = {.instance = this->options.instance,
                      .address = this->options.peer_listen_address,
                      .data_centre = this->options.data_centre},
             .seeds = this->options.seeds},
            *this),
      configuration_listener(std::make_unique<ConfigurationListener>(*this)),
      directory_listener(std::make_unique<DirectoryListener>(*this)),
      configuration_feed({.max_wait = kConfigurationWait},
                         this->platform.configuration_store,
                         *this->configuration_listener),
      directory_feed({.refresh_age = kDirectoryAge, .always_read_all = true},
                     this->platform.server_store, *this->directory_listener),
      timer(io),
      signals(io) {}

Gateway::~Gateway() = default;

std::optional<std::string> Gateway::Start() {
  this->status.AddPage("/readyz", [this] {
    return StatusPage{.status = this->ready() ? http_status::kOk
                                              : http_status::kUnavailable};
  });
  this->status.AddPage(
      "/metrics", [this] { return StatusPage{.text = this->MetricsText()}; });
  if (auto fault = this->status.Start(this->options.status_listen_address)) {
    return fault;
  }
  if (auto fault = this->links.Start()) {
    return fault;
  }
  if (auto fault = this->callers.Start()) {
    return fault;
  }
  this->log.Write(LogEvent::kStarted,
                  {{"data_centre", this->options.data_centre},
                   {"callers_at", this->callers.port()},
                   {"operators_at", this->status.port()},
                   {"peers_at", this->links.port()}});
  this->AwaitSignals();
  this->Tick(std::chrono::steady_clock::now());
  this->AwaitTick();
  return std::nullopt;
}

bool Gateway::Run() {
  this->io.run();
  this->log.Write(LogEvent::kStopped, {{"cut_off", this->cut_off}});
  return !this->cut_off;
}

bool Gateway::ready() const {
  return this->context.configuration != nullptr &&
         this->directory.as_of() != 0 && !this->leaving_since;
}

void Gateway::AwaitSignals() {
  error_code ignored;
  this->signals.add(SIGTERM, ignored);
  this->signals.add(SIGINT, ignored);
  this->signals.add(SIGHUP, ignored);
  this->signals.async_wait([this](error_code failure, int number) {
    if (failure) {
      return;
    }
    if (number == SIGHUP) {
      this->Reload();
    } else {
      this->StartDrain();
    }
    this->AwaitSignals();
  });
}

void Gateway::Reload() {
  const auto fresh = this->platform.reload_options();
  if (!fresh) {
    this->log.Write(LogEvent::kSettingsRefused, {{"fault", fresh.error()}});
    return;
  }
  // Addresses and names hold for the process's life; bounds may change.
  this->options.retry_budget = fresh->retry_budget;
  this->options.shutdown_grace = fresh->shutdown_grace;
  this->budget.set_bounds(fresh->retry_budget);
  this->log.Write(LogEvent::kSettingsReloaded,
                  {{"retry_ratio", fresh->retry_budget.ratio},
                   {"retry_slack", fresh->retry_budget.slack},
                   {"grace_ms", ToLogMilliseconds(fresh->shutdown_grace)}});
}

void Gateway::StartDrain() {
  if (this->leaving_since) {
    return;
  }
  this->leaving_since = std::chrono::steady_clock::now();
  this->context.leaving = true;
  this->links.RequestReport();
  this->log.Write(LogEvent::kDrainStarted, {{"open", this->callers.busy()}});
}

void Gateway::AwaitTick() {
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](error_code failure) {
    if (failure || this->done) {
      return;
    }
    this->Tick(std::chrono::steady_clock::now());
    if (!this->done) {
      this->AwaitTick();
    }
  });
}

void Gateway::Tick(TimePoint now) {
  this->configuration_feed.SetMaxWait(
      this->ReadsStore(now) ? kReadersConfigurationWait : kConfigurationWait);
  this->configuration_feed.Tick(now, {}, {});
  this->directory_feed.AdvanceTo(this->directory.as_of());
  this->directory_feed.Tick(
      now, now - this->directory.read_at(),
      kNextReader * std::min(this->links.Rank(), kMostReaderRanks));
  this->LogNews(this->directory.Tick(now), "grace");
  this->links.Tick(now);
  this->placer.SetFleet(1 + this->links.live_peer_count(),
                        this->links.ReportInterval());
  this->budget.set_instances(1 + static_cast<int>(this->links.peers().size()));
  if (this->links.Rank() == 0) {
    this->placer.Lead();
  }
  this->NoteSuspicion();
  AdmitWaiting(this->context);
  this->callers.Tick(now);
  this->pool.CloseIdle(now);
  this->NoteDroppedLines(now);
  if (!this->told_ready && this->ready()) {
    this->told_ready = true;
    this->log.Write(LogEvent::kReady,
                    {{"revision", this->configuration_document.revision}});
  }
  this->LeaveWhenDone(now);
}

void Gateway::LeaveWhenDone(TimePoint now) {
  if (!this->leaving_since) {
    return;
  }
  if (this->closing_since) {
    if (now - *this->closing_since >= kFlush) {
      this->done = true;
      this->io.stop();
    }
    return;
  }
  const Duration since = now - *this->leaving_since;
  const std::size_t open = this->callers.busy();
  const bool over = since >= this->options.shutdown_grace - kGraceMargin;
  if (over && open > 0) {
    this->cut_off = true;
    this->log.Write(LogEvent::kDrainCutOff, {{"lost", open}});
  }
  if (since >= kStillSent) {
    // What comes later could not be finished within the grace.
    this->callers.StopAccepting();
    this->callers.CloseIdle();
  }
  if (over || (open == 0 && since >= kStillSent)) {
    this->closing_since = now;
  }
}

void Gateway::Adopt(const SharedDocument& document, const std::string& from) {
  if (document.removed ||
      document.revision <= this->configuration_document.revision) {
    return;
  }
  auto decoded = this->platform.configuration_decoder.Decode(document.value);
  if (!decoded) {
    if (document.revision > this->refused_revision) {
      this->refused_revision = document.revision;
      this->log.Write(LogEvent::kConfigurationRefused,
                      {{"version", document.revision},
                       {"fault", decoded.error()},
                       {"from", from}});
    }
    return;
  }
  const std::uint64_t before =
      this->context.configuration ? this->context.configuration->version : 0;
  if (this->context.configuration && decoded->version <= before) {
    return;
  }
  this->configuration_document = document;
  this->context.configuration =
      std::make_shared<const RoutingConfiguration>(std::move(*decoded));
  this->links.RequestReport();
  this->log.Write(LogEvent::kConfigurationInForce,
                  {{"revision", document.revision},
                   {"version", this->context.configuration->version},
                   {"version_before", before},
                   {"routes", this->context.configuration->routes.size()},
                   {"from", from}});
}

void Gateway::LogStoreLost(const char* reader, const std::string& why,
                           std::uint64_t revision) {
  this->log.Write(LogEvent::kStoreUnavailable,
                  {{"reader", reader}, {"why", why}, {"revision", revision}});
}

void Gateway::LogStoreRegained(const char* reader, Duration away,
                               std::uint64_t revision) {
  this->log.Write(LogEvent::kStoreAvailable,
                  {{"reader", reader},
                   {"away_ms", ToLogMilliseconds(away)},
                   {"revision", revision}});
}

void Gateway::LogNews(const std::vector<DirectoryNews>& news,
                      const std::string& from) {
  for (const DirectoryNews& item : news) {
    if (item.change == DirectoryChange::kRestarted ||
        item.change == DirectoryChange::kGone) {
      this->placer.Forget(item.server.id);
      this->pool.Forget(item.server.id);
    }
    this->log.Write(LogEvent::kServerChanged,
                    {{"server", item.server.id},
                     {"change", ToString(item.change)},
                     {"service", item.server.service},
                     {"address", item.server.address},
                     {"data_centre", item.server.data_centre},
                     {"revision", item.revision},
                     {"from", from}});
  }
}

void Gateway::NoteSuspicion() {
  std::set<std::string> silent = this->links.SilentDataCentres();
  if (silent == this->placer.suspected_data_centres()) {
    return;
  }
  this->log.Write(LogEvent::kDataCentresSuspected,
                  {{"silent", silent},
                   {"before", this->placer.suspected_data_centres()},
                   {"peers", this->links.live_peer_count()}});
  this->placer.SetSuspected(std::move(silent));
}

void Gateway::NoteDroppedLines(TimePoint now) {
  const std::uint64_t dropped = this->log.dropped();
  if (dropped == this->dropped_noted ||
      now - this->last_drop_note < kDropNotes) {
    return;
  }
  this->log.Write(
      LogEvent::kLinesDropped,
      {{"since_last", dropped - this->dropped_noted}, {"all", dropped}});
  this->dropped_noted = dropped;
  this->last_drop_note = now;
}

bool Gateway::ReadsStore(TimePoint now) const {
  return now - this->directory_read_here <= kReaderTerm;
}

bool Gateway::PassesOnServers(const FleetPeer& peer, TimePoint now) {
  // One that knows nothing yet has just begun, perhaps with all others, and is
  // about to read by itself.
  const bool begins = peer.directory_revision == 0;
  if (!begins && this->ReadsStore(now)) {
    return true;
  }
  if (!begins && now - peer.directory_read_at <= kLaggingDirectory) {
    return false;
  }
  return this->HasTurn(this->server_turns, peer, &FleetPeer::directory_revision,
                       this->directory.as_of(), now);
}

bool Gateway::HasTurn(PassingTurns& turns, const FleetPeer& peer,
                      std::uint64_t FleetPeer::*known, std::uint64_t revision,
                      TimePoint now) const {
  const int place = this->links.SenderRank(
      peer, [&](const FleetPeer& other) { return other.*known >= revision; });
  return turns.MaySend(peer.identity.address, place, now);
}

FleetReport Gateway::MakeReport() {
  const TimePoint now = std::chrono::steady_clock::now();
  return {.leaving = this->context.leaving,
          .configuration_revision = this->configuration_document.revision,
          .directory_revision = this->directory.as_of(),
          .directory_age = now - this->directory.read_at(),
          .directory_reading = this->directory.reading(),
          .shares = this->placer.ledger().OwnShare(),
          .divisions = this->placer.Divisions(now),
          // Without servers it tells something only to who knows as much.
          .servers = {.since = this->directory.as_of()}};
}

void Gateway::AddMissingDocuments(const FleetPeer& peer, FleetReport& report) {
  const TimePoint now = std::chrono::steady_clock::now();
  const SharedDocument& configuration = this->configuration_document;
  if (configuration.revision <= peer.configuration_revision) {
    this->configuration_turns.NoteUpToDate(peer.identity.address);
  } else if (this->HasTurn(this->configuration_turns, peer,
                           &FleetPeer::configuration_revision,
                           configuration.revision, now)) {
    report.configuration = configuration;
  }
  if (this->directory.as_of() <= peer.directory_revision) {
    this->server_turns.NoteUpToDate(peer.identity.address);
  } else if (this->PassesOnServers(peer, now)) {
    report.servers = this->directory.UpdateSince(peer.directory_revision);
  }
}

void Gateway::NoteDirectoryRead(TimePoint now) {
  this->directory_read_here = now;
  this->configuration_feed.RestartStalledRead(
      kReadersConfigurationWait + kLostAnswer, now);
  this->links.RequestReport();
}

void Gateway::OnReport(const FleetPeer& peer, const FleetReport& report) {
  const TimePoint now = std::chrono::steady_clock::now();
  this->placer.ledger().SetPeer(peer.identity.instance, report.shares, now);
  this->placer.SetPeerWork(peer.identity.instance, report.divisions, now);
  if (this->links.RanksFirst(peer.identity.instance)) {
    this->placer.Follow(report.divisions);
  }
  if (report.configuration) {
    this->Adopt(*report.configuration, peer.identity.instance);
  }
  this->LogNews(this->directory.ApplyUpdate(
                    report.servers, report.directory_revision,
                    report.directory_reading, now - report.directory_age, now),
                peer.identity.instance);
}

void Gateway::OnPeerStatusChange(const FleetPeer& peer, PeerStatus news) {
  if (news != PeerStatus::kUp) {
    this->placer.RemovePeer(peer.identity.instance);
  }
  this->log.Write(
      news == PeerStatus::kUp ? LogEvent::kPeerUp : LogEvent::kPeerDown,
      {{"peer", peer.identity.instance},
       {"data_centre", peer.identity.data_centre},
       {"reason", ToString(news)},
       {"leaving", peer.leaving},
       {"live", this->links.live_peer_count()}});
}

std::string Gateway::MetricsText() const {
  std::string text = this->metrics.ToPrometheus(
      std::chrono::steady_clock::now(), 0, this->callers.busy());
  const auto add = [&text](const char* name, std::uint64_t value) {
    text += std::string("# TYPE ") + name + " gauge\n" + name + " " +
            std::to_string(value) + "\n";
  };
  add("rosemarycove_caller_connections", this->callers.connections());
  add("rosemarycove_idle_backend_connections", this->pool.idle());
  add("rosemarycove_backend_servers", this->directory.servers().size());
  add("rosemarycove_peers",
      static_cast<std::uint64_t>(this->links.live_peer_count()));
  add("rosemarycove_configuration_version",
      this->context.configuration ? this->context.configuration->version : 0);
  add("rosemarycove_store_readings_total",
      this->configuration_feed.call_count() +
          this->directory_feed.call_count());
  add("rosemarycove_peer_bytes_sent_total", this->links.bytes_sent());
  add("rosemarycove_log_lines_dropped_total", this->log.dropped());
  return text;
}

}  // namespace rosemarycove
