#include "app/instance.h"

#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <random>
#include <utility>

#include "app/claim_store.h"
#include "app/configuration_manager.h"
#include "app/load_poller.h"
#include "app/node_host.h"
#include "app/operator_api.h"
#include "app/peer_service.h"
#include "http/caller_api.h"
#include "http/http_server.h"
#include "net/clock.h"
#include "store/http_instance_list.h"
#include "store/http_key_value_store.h"

namespace rosemarycove {
namespace {

// Interval at which Drain checks for open requests.
constexpr auto kDrainPollInterval = std::chrono::milliseconds(20);
// Time for the responses to requests that were cut off.
constexpr auto kCutOffTime = std::chrono::milliseconds(500);
constexpr int kMaxOperatorConnections = 32;
// Allowance for the header in the limit on a whole request, in bytes.
constexpr std::size_t kMaxHeaderBytes = 1U << 16U;
constexpr std::size_t kMaxOperatorBodyBytes = 8U << 20U;
// Body limit of an instance whose resources come from the store.
constexpr std::size_t kDefaultMaxBodyBytes = 1U << 20U;
constexpr auto kStoreTimeout = std::chrono::seconds(1);

// Returns the instance's name with a random suffix that differs with each
// start.
std::string MakeProcessName(const std::string& instance) {
  std::random_device random;
  const std::uint64_t suffix =
      (static_cast<std::uint64_t>(random()) << 32U) | random();
  return fmt::format("{}-{:016x}", instance, suffix);
}

}  // namespace

Instance::Instance(Settings settings)
    : settings(std::move(settings)),
      process_name(MakeProcessName(this->settings.name)),
      log(this->settings.name, this->settings.log_format,
          this->settings.log_level) {
  if (this->settings.store) {
    this->store = std::make_unique<HttpKeyValueStore>(
        this->settings.store->host, this->settings.store->port, kStoreTimeout);
    this->claims = std::make_unique<SharedClaimStore>(*this->store);
  } else {
    this->claims = std::make_unique<InMemoryClaimStore>();
  }
  this->host = std::make_unique<NodeHost>(
      NodeHostOptions{
          .instance = this->settings.name,
          .process_name = this->process_name,
          .data_centre = this->settings.data_centre,
          .max_attempts =
              static_cast<std::size_t>(this->settings.max_connections),
          .clients = {.connect_timeout = this->settings.connect_timeout,
                      .stall_timeout = this->settings.stall_timeout}},
      this->log, this->metrics, *this->claims);
  if (this->store) {
    this->configuration = std::make_unique<ConfigurationManager>(
        *this->store, this->log,
        [this](std::shared_ptr<const ResourceSet> resources) {
          const std::uint64_t revision = resources->revision;
          this->host->Post(ResourcesChanged{.resources = std::move(resources)});
          if (this->peers) {
            this->peers->SetRevision(revision);
          }
        });
  }
  this->MakePeerService();
  this->MakeServers();
}

Instance::~Instance() = default;

void Instance::MakePeerService() {
  if (!this->settings.instance_list) {
    return;
  }
  this->instance_list = std::make_unique<HttpInstanceList>(
      this->settings.instance_list->host, this->settings.instance_list->port,
      kStoreTimeout);
  this->peers = std::make_unique<PeerService>(
      PeerLinksOptions{.name = this->settings.name,
                       .data_centre = this->settings.data_centre,
                       .host = this->settings.peer_listen.host,
                       .port = this->settings.peer_listen.port,
                       .secret = this->settings.peer_secret},
      *this->instance_list, *this->host, this->log);
}

void Instance::MakeServers() {
  const std::size_t max_body =
      this->settings.resources
          ? static_cast<std::size_t>(this->settings.resources->limits.max_body)
          : kDefaultMaxBodyBytes;
  this->caller_server = std::make_unique<HttpServer>(
      HttpServerOptions{.max_connections = this->settings.max_connections,
                        .max_body_bytes = max_body,
                        .max_request_bytes = max_body + kMaxHeaderBytes,
                        .read_timeout = this->settings.read_timeout,
                        .write_timeout = this->settings.write_timeout,
                        .idle_timeout = this->settings.idle_timeout});
  this->caller_api = std::make_unique<CallerApi>(
      CallerApiOptions{.instance = this->settings.name,
                       .process = this->process_name},
      *this->caller_server, *this->host);
  if (this->settings.operator_listen.host.empty()) {
    return;
  }
  this->operator_server = std::make_unique<HttpServer>(HttpServerOptions{
      .max_connections = kMaxOperatorConnections,
      .max_body_bytes = kMaxOperatorBodyBytes,
      .max_request_bytes = kMaxOperatorBodyBytes + kMaxHeaderBytes,
      .read_timeout = this->settings.read_timeout,
      .write_timeout = this->settings.write_timeout,
      .idle_timeout = this->settings.idle_timeout});
  this->operator_api = std::make_unique<OperatorApi>(
      OperatorApiOptions{.instance = this->settings.name,
                         .token = this->settings.operator_token},
      *this->operator_server, *this->host, this->metrics,
      this->configuration.get(), this->peers.get());
}

bool Instance::StartServers() {
  const auto bind = [this](HttpServer& server, const Endpoint& endpoint) {
    const int port = server.Bind(endpoint.host, endpoint.port);
    if (port <= 0) {
      this->log.Write(LogEvent::kListenFailed,
                      {{"host", endpoint.host}, {"port", endpoint.port}});
    }
    return port;
  };
  this->bound_caller_port = bind(*this->caller_server, this->settings.listen);
  if (this->bound_caller_port <= 0) {
    return false;
  }
  if (this->peers) {
    this->bound_peer_port = this->peers->Start();
    if (this->bound_peer_port <= 0) {
      this->log.Write(LogEvent::kListenFailed,
                      {{"host", this->settings.peer_listen.host},
                       {"port", this->settings.peer_listen.port}});
      return false;
    }
  }
  if (this->operator_server) {
    this->bound_operator_port =
        bind(*this->operator_server, this->settings.operator_listen);
    if (this->bound_operator_port <= 0) {
      return false;
    }
    this->operator_thread =
        std::thread([this] { this->operator_server->listen_after_bind(); });
  }
  this->caller_thread =
      std::thread([this] { this->caller_server->listen_after_bind(); });
  return true;
}

bool Instance::Start() {
  if (this->settings.resources) {
    this->host->Post(ResourcesChanged{
        .resources =
            std::make_shared<const ResourceSet>(*this->settings.resources)});
  }
  if (this->configuration) {
    this->configuration->Start();
  }
  if (!this->StartServers()) {
    return false;
  }
  this->load_poller = std::make_unique<LoadPoller>(this->settings.load_period,
                                                   *this->host, this->log);
  this->log.Write(LogEvent::kStarted,
                  {{"data_centre", this->settings.data_centre},
                   {"callers_at", this->bound_caller_port},
                   {"operators_at", this->bound_operator_port},
                   {"peers_at", this->bound_peer_port}});
  return true;
}

void Instance::CutOffRequests() {
  this->caller_server->StartDraining();
  this->host->Post(DrainTimedOut{});
  const auto deadline = MonotonicNow() + kCutOffTime;
  while (this->caller_server->active_count() > 0 && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

bool Instance::Drain(const std::function<bool()>& should_abort) {
  this->log.Write(LogEvent::kDrainStarted,
                  {{"open", this->host->open_requests()}});
  if (this->peers) {
    this->peers->AnnounceDraining();
  }
  this->host->Post(DrainStarted{});
  const auto deadline = MonotonicNow() + this->settings.drain_timeout;
  while (this->host->open_requests() > 0 && !should_abort() &&
         MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  const std::size_t lost = this->host->open_requests();
  if (lost > 0) {
    this->log.Write(LogEvent::kDrainCutOff, {{"lost", lost}});
    this->CutOffRequests();
    this->log.Flush();
    return false;
  }
  this->caller_server->StartDraining();
  this->caller_server->stop();
  this->caller_thread.join();
  this->load_poller.reset();
  if (this->configuration) {
    this->configuration->Stop();
  }
  if (this->operator_server) {
    this->operator_server->StartDraining();
    this->operator_server->stop();
    this->operator_thread.join();
  }
  // The components stopped above use the peer service.
  this->peers.reset();
  this->log.Write(LogEvent::kStopped, LogFields::object());
  this->log.Flush();
  return true;
}

}  // namespace rosemarycove
