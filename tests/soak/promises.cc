#include "tests/soak/promises.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "http/http_status.h"

namespace rosemarycove::soak {
namespace {

// The time within which a write to the store must have its effect, and a margin
// for a busy machine.
constexpr auto kApplyTime = std::chrono::milliseconds(3000);
// The versions after which a key is no longer accepted.
constexpr std::size_t kVersionsOfKey = 2;

// Returns whether this status says that the request did not run.
bool MeansNotRun(int status) {
  constexpr int kTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  return status == kTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

bool IsGatewayFailure(int status) {
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  return status == kBadGateway || status == kGatewayTimeout;
}

}  // namespace

void Promises::OnConfiguration(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  this->configurations.push_back({.key = key, .written_at = Clock::now()});
}

void Promises::OnDisturbance() {
  const std::lock_guard lock(this->mutex);
  this->disturbed_until = Clock::now();
}

void Promises::OnKill(const std::string& instance) {
  const std::lock_guard lock(this->mutex);
  this->killed_at[instance] = Clock::time_point::max();
}

void Promises::OnKilled(const std::string& instance) {
  const std::lock_guard lock(this->mutex);
  this->killed_at[instance] = Clock::now();
}

void Promises::OnServerLeaves(const std::string& server) {
  const std::lock_guard lock(this->mutex);
  this->left_at.emplace(server, Clock::now());
}

void Promises::OnRun(const std::string& request, const std::string& server) {
  const std::lock_guard lock(this->mutex);
  Request& record = this->requests[request];
  record.servers.push_back(server);
  if (record.is_not_run) {
    this->Break("runs at " + server + " after a response that it did not run",
                request);
  }
  const auto left = this->left_at.find(server);
  if (left != this->left_at.end() &&
      this->IsSettled(left->second, Clock::now())) {
    this->Break(
        fmt::format("reaches {} {} ms after it left", server,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Clock::now() - left->second)
                        .count()),
        request);
  }
}

void Promises::OnResponse(const SentRequest& request, int status,
                          const std::string& echoed_id,
                          const std::string& body) {
  const std::lock_guard lock(this->mutex);
  ++this->responses[status];
  Request& record = this->requests[request.id];
  const std::size_t count = this->SettledCount(request.sent_at);
  if (!request.is_repeatable && record.servers.size() > 1) {
    this->Break(fmt::format("ran at {}", fmt::join(record.servers, ", ")),
                request.id);
  }
  if (status == http_status::kOk) {
    if (echoed_id != request.id || body != "done " + request.id) {
      this->Break("got the response of another request", request.id);
    }
    if (record.servers.empty()) {
      this->Break("got 200 though no server ran it", request.id);
    }
    if (this->IsRevoked(request.key, count)) {
      this->Break("got 200 with a revoked key", request.id);
    }
  } else if (MeansNotRun(status)) {
    record.is_not_run = true;
    if (!record.servers.empty()) {
      this->Break(fmt::format("got {} though it ran at {}", status,
                              fmt::join(record.servers, ", ")),
                  request.id);
    }
  } else if (status == http_status::kUnauthorized) {
    // Versions that need not be in force yet may have revoked it.
    const bool is_known = std::any_of(
        this->configurations.begin(),
        this->configurations.begin() + static_cast<std::ptrdiff_t>(count),
        [&request](const Configuration& item) {
          return item.key == request.key;
        });
    if (is_known &&
        !this->IsRevoked(request.key, this->configurations.size())) {
      this->Break("got 401 with a valid key", request.id);
    }
  } else if (!IsGatewayFailure(status)) {
    this->Break(fmt::format("got the unexpected status {}", status),
                request.id);
  }
}

void Promises::OnConnectionEnd(const SentRequest& request, ConnectionEnd end) {
  const std::lock_guard lock(this->mutex);
  const auto killed = this->killed_at.find(request.instance);
  const bool was_killed =
      killed != this->killed_at.end() && killed->second >= request.sent_at;
  if (!was_killed && end == ConnectionEnd::kAfterReading) {
    this->Break(request.instance + " closed the connection with no answer",
                request.id);
  }
}

void Promises::OnSilence(const SentRequest& request) {
  const std::lock_guard lock(this->mutex);
  this->Break("got nothing from " + request.instance, request.id);
}

void Promises::Report(const std::string& what, const std::string& request) {
  const std::lock_guard lock(this->mutex);
  this->Break(what, request);
}

std::string Promises::GoodKey() {
  const std::lock_guard lock(this->mutex);
  const std::size_t count = this->configurations.size();
  return this->configurations.at(count > 1 ? count - 2 : 0).key;
}

std::string Promises::RevokedKey() {
  const std::lock_guard lock(this->mutex);
  const std::size_t count = this->SettledCount(Clock::now());
  return count <= kVersionsOfKey
             ? ""
             : this->configurations.at(count - 1 - kVersionsOfKey).key;
}

std::vector<BrokenPromise> Promises::broken() {
  const std::lock_guard lock(this->mutex);
  return this->broken_promises;
}

std::map<int, int> Promises::response_counts() {
  const std::lock_guard lock(this->mutex);
  return this->responses;
}

std::size_t Promises::SettledCount(Clock::time_point at) const {
  std::size_t count = 0;
  while (count < this->configurations.size() &&
         this->IsSettled(this->configurations[count].written_at, at)) {
    ++count;
  }
  return count;
}

bool Promises::IsSettled(Clock::time_point written_at,
                         Clock::time_point at) const {
  return at > std::max(written_at, this->disturbed_until) + kApplyTime;
}

bool Promises::IsRevoked(const std::string& key,
                         std::size_t configuration_count) const {
  for (std::size_t i = 0; i + kVersionsOfKey < configuration_count; ++i) {
    if (this->configurations[i].key == key) {
      return true;
    }
  }
  return false;
}

void Promises::Break(const std::string& what, const std::string& request) {
  this->broken_promises.push_back({.what = what, .request = request});
}

}  // namespace rosemarycove::soak
