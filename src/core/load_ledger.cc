#include "core/load_ledger.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rosemarycove {
namespace {

// A peer's loads expire this long after its last report. Reports are at most a
// few hundred milliseconds apart, and the loads of a peer that became
// unreachable must not be counted for long.
constexpr Duration kPeerLoadMaxAge = std::chrono::milliseconds(1500);

}  // namespace

ServerLoad& ServerLoad::operator+=(const ServerLoad& other) {
  this->running += other.running;
  this->prefill_tokens += other.prefill_tokens;
  this->kv_tokens += other.kv_tokens;
  this->long_prefill_tokens += other.long_prefill_tokens;
  this->gap_sensitive_streams += other.gap_sensitive_streams;
  return *this;
}

std::uint64_t IdHash(std::string_view id) {
  return XXH3_64bits(id.data(), id.size());
}

void LoadLedger::Add(const std::string& server, const ServerLoad& change) {
  this->own_loads[IdHash(server)] += change;
}

void LoadLedger::Subtract(const std::string& server, const ServerLoad& change) {
  const auto found = this->own_loads.find(IdHash(server));
  if (found == this->own_loads.end()) {
    return;
  }
  found->second +=
      ServerLoad{.running = -change.running,
                 .prefill_tokens = -change.prefill_tokens,
                 .kv_tokens = -change.kv_tokens,
                 .long_prefill_tokens = -change.long_prefill_tokens,
                 .gap_sensitive_streams = -change.gap_sensitive_streams};
  if (found->second == ServerLoad{}) {
    this->own_loads.erase(found);
  }
}

void LoadLedger::SetPeerLoads(const std::string& peer,
                              const std::vector<ServerLoadEntry>& loads,
                              TimePoint now) {
  PeerLoads& report = this->peers[peer];
  report.received_at = now;
  report.loads.clear();
  for (const ServerLoadEntry& item : loads) {
    report.loads[item.server_hash] += item.load;
  }
}

void LoadLedger::RemovePeer(const std::string& peer) {
  this->peers.erase(peer);
}

ServerLoad LoadLedger::TotalLoad(const std::string& server,
                                 TimePoint now) const {
  const std::uint64_t server_hash = IdHash(server);
  ServerLoad total = this->OwnLoad(server);
  for (const auto& [name, report] : this->peers) {
    if (now - report.received_at > kPeerLoadMaxAge) {
      continue;
    }
    const auto found = report.loads.find(server_hash);
    if (found != report.loads.end()) {
      total += found->second;
    }
  }
  return total;
}

ServerLoad LoadLedger::OwnLoad(const std::string& server) const {
  const auto found = this->own_loads.find(IdHash(server));
  return found == this->own_loads.end() ? ServerLoad{} : found->second;
}

std::vector<std::pair<std::string, int>> LoadLedger::RunningByPeer(
    const std::string& server, TimePoint now) const {
  const std::uint64_t server_hash = IdHash(server);
  std::vector<std::pair<std::string, int>> running;
  for (const auto& [name, report] : this->peers) {
    const auto found = report.loads.find(server_hash);
    if (found != report.loads.end() &&
        now - report.received_at <= kPeerLoadMaxAge) {
      running.emplace_back(name, found->second.running);
    }
  }
  return running;
}

std::vector<ServerLoadEntry> LoadLedger::OwnLoads() const {
  std::vector<ServerLoadEntry> entries;
  entries.reserve(this->own_loads.size());
  for (const auto& [server_hash, load] : this->own_loads) {
    entries.push_back({.server_hash = server_hash, .load = load});
  }
  return entries;
}

Duration LoadLedger::MaxPeerAge(TimePoint now) const {
  Duration oldest{};
  for (const auto& [name, report] : this->peers) {
    const Duration age = now - report.received_at;
    if (age <= kPeerLoadMaxAge) {
      oldest = std::max(oldest, age);
    }
  }
  return oldest;
}

}  // namespace rosemarycove
