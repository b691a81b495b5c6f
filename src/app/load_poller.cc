#include "app/load_poller.h"

#include <chrono>
#include <vector>

#include "http/bounded_response.h"
#include "net/clock.h"
#include "wire/json_decoder.h"

namespace rosemarycove {
namespace {

constexpr std::size_t kMaxThreads = 8;
// For connecting to a server and for reading its response, each.
constexpr auto kTimeout = std::chrono::milliseconds(500);
constexpr int kOk = 200;
constexpr ResponseBounds kBounds{.max_body_bytes = std::size_t{64} << 10U,
                                 .max_time = kTimeout};
// A report out of these ranges is not valid.
constexpr double kMaxAgeMs = 1e9;
constexpr int kMaxRunning = 1'000'000;

}  // namespace

LoadPoller::LoadPoller(Duration period, NodeHost& host, EventLog& log)
    : period(period), host(host), log(log), pool(kMaxThreads), thread([this] {
        this->Run();
      }) {}

LoadPoller::~LoadPoller() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->thread.join();
  this->pool.Shutdown();
}

void LoadPoller::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    std::vector<Backend> scheduled;
    this->host.Inspect([&scheduled](const Node& node) {
      scheduled = node.ScheduledBackends();
    });
    for (const Backend& backend : scheduled) {
      if (this->in_flight.insert(backend.name).second) {
        this->pool.Run([this, backend] { this->Poll(backend); });
      }
    }
    this->changed.wait_for(lock, this->period,
                           [this] { return this->stopping; });
  }
}

void LoadPoller::Poll(const Backend& backend) {
  BackendClient client(backend.address);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  httplib::Request request;
  request.method = "GET";
  request.path = "/load";
  const httplib::Result result =
      SendBounded(client, std::move(request), kBounds);
  const TimePoint now = MonotonicNow();
  bool is_valid = false;
  if (result && result->status == kOk) {
    const auto load =
        JsonDecoder().DecodeObject(result->body, [&](const JsonFields& fields) {
          const double age_ms = fields.Number("age_ms", 0, kMaxAgeMs);
          return LoadReported{.backend = backend.name,
                              .taken_at = now - FromSeconds(age_ms / 1000),
                              .running = static_cast<int>(
                                  fields.Integer("running", 0, kMaxRunning))};
        });
    is_valid = load.has_value();
    if (is_valid) {
      this->host.Post(*load);
    }
  }
  this->OnPolled(backend.name, is_valid);
}

void LoadPoller::OnPolled(const std::string& backend, bool is_valid) {
  const std::lock_guard lock(this->mutex);
  this->in_flight.erase(backend);
  if (is_valid) {
    this->unresponsive.erase(backend);
  } else if (this->unresponsive.insert(backend).second) {
    this->log.Write(LogEvent::kLoadReportMissing, {{"backend", backend}});
  }
}

}  // namespace rosemarycove
