#include "standins/store_standin.h"

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

namespace standins {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxValueBytes = 1U << 20U;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;

std::uint64_t NumberParameter(const httplib::Request& request,
                              const char* name) {
  return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10);
}

}  // namespace

StoreStandin::StoreStandin() {
  this->server->Get("/kv/(.+)", [this](const httplib::Request& request,
                                       httplib::Response& response) {
    this->HandleGet(request, response);
  });
  this->server->Put("/kv/(.+)", [this](const httplib::Request& request,
                                       httplib::Response& response) {
    this->HandlePut(request, response);
  });
  this->server->Get("/counts", [this](const httplib::Request& /*request*/,
                                      httplib::Response& response) {
    this->HandleCounts(response);
  });
  this->RegisterInstances();
}

void StoreStandin::RegisterInstances() {
  this->server->Get("/instances", [this](const httplib::Request& /*request*/,
                                         httplib::Response& response) {
    ++this->read_calls;
    if (this->ApplyFaults()) {
      return;
    }
    const std::lock_guard lock(this->mutex);
    response.set_content(this->instances, "application/json");
  });
  this->server->Put("/instances", [this](const httplib::Request& request,
                                         httplib::Response& /*response*/) {
    const std::lock_guard lock(this->mutex);
    this->instances = request.body;
  });
}

StoreStandin::~StoreStandin() {
  this->is_stopping = true;
  this->changed.notify_all();
  this->Stop();
}

bool StoreStandin::ApplyFaults() {
  const double delay_ms = this->switches.Value("slow_ms", 0);
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(delay_ms));
  if (this->switches.Value("outage", 0) >= 1) {
    StandinServer::CutConnection();
    return true;
  }
  return false;
}

void StoreStandin::HandleGet(const httplib::Request& request,
                             httplib::Response& response) {
  ++this->read_calls;
  if (this->ApplyFaults()) {
    return;
  }
  const std::string key = request.matches[1];
  std::unique_lock lock(this->mutex);
  if (request.has_param("above")) {
    const std::uint64_t above = NumberParameter(request, "above");
    this->changed.wait_for(
        lock, std::chrono::milliseconds(NumberParameter(request, "wait_ms")),
        [&] {
          return this->is_stopping || this->entries[key].version > above;
        });
  }
  const Entry entry = this->entries[key];
  lock.unlock();
  if (this->switches.Value("outage", 0) >= 1) {
    StandinServer::CutConnection();
    return;
  }
  response.set_content(
      json{{"value", entry.value}, {"version", entry.version}}.dump(),
      "application/json");
}

void StoreStandin::HandlePut(const httplib::Request& request,
                             httplib::Response& response) {
  ++this->write_calls;
  if (this->ApplyFaults()) {
    return;
  }
  if (request.body.size() > kMaxValueBytes) {
    response.status = kTooLarge;
    return;
  }
  const std::string key = request.matches[1];
  std::uint64_t version = 0;
  {
    const std::lock_guard lock(this->mutex);
    Entry& entry = this->entries[key];
    version = entry.version;
    if (version == NumberParameter(request, "version")) {
      entry.value = request.body;
      version = ++entry.version;
      this->changed.notify_all();
    } else {
      response.status = kConflict;
    }
  }
  if (response.status != kConflict && this->switches.Consume("lose_answer")) {
    StandinServer::CutConnection();
    return;
  }
  response.set_content(json{{"version", version}}.dump(), "application/json");
}

void StoreStandin::HandleCounts(httplib::Response& response) const {
  response.set_content(json{{"reads", this->read_calls.load()},
                            {"writes", this->write_calls.load()}}
                           .dump(),
                       "application/json");
}

}  // namespace standins
