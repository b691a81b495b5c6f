#include "core/load_ledger.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rosemarycove {
namespace {

// A share counts for this long after its report. Reports come every few
// hundred milliseconds at the most; a cut must not leave phantom load for long.
constexpr Duration kShareLife = std::chrono::milliseconds(1500);

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
  this->own[IdHash(server)] += change;
}

void LoadLedger::Subtract(const std::string& server, const ServerLoad& change) {
  const auto found = this->own.find(IdHash(server));
  if (found == this->own.end()) {
    return;
  }
  found->second +=
      ServerLoad{.running = -change.running,
                 .prefill_tokens = -change.prefill_tokens,
                 .kv_tokens = -change.kv_tokens,
                 .long_prefill_tokens = -change.long_prefill_tokens,
                 .gap_sensitive_streams = -change.gap_sensitive_streams};
  if (found->second == ServerLoad{}) {
    this->own.erase(found);
  }
}

void LoadLedger::SetPeerLoads(const std::string& peer,
                              const std::vector<ServerLoadEntry>& loads,
                              TimePoint now) {
  PeerShare& share = this->peers[peer];
  share.told_at = now;
  share.loads.clear();
  for (const ServerLoadEntry& item : loads) {
    share.loads[item.server_hash] += item.load;
  }
}

void LoadLedger::RemovePeer(const std::string& peer) {
  this->peers.erase(peer);
}

ServerLoad LoadLedger::TotalLoad(const std::string& server,
                                 TimePoint now) const {
  const std::uint64_t number = IdHash(server);
  ServerLoad total = this->OwnLoad(server);
  for (const auto& [name, share] : this->peers) {
    if (now - share.told_at > kShareLife) {
      continue;
    }
    const auto found = share.loads.find(number);
    if (found != share.loads.end()) {
      total += found->second;
    }
  }
  return total;
}

ServerLoad LoadLedger::OwnLoad(const std::string& server) const {
  const auto found = this->own.find(IdHash(server));
  return found == this->own.end() ? ServerLoad{} : found->second;
}

std::vector<ServerLoadEntry> LoadLedger::OwnLoads() const {
  std::vector<ServerLoadEntry> share;
  share.reserve(this->own.size());
  for (const auto& [server, load] : this->own) {
    share.push_back({.server_hash = server, .load = load});
  }
  return share;
}

Duration LoadLedger::MaxPeerAge(TimePoint now) const {
  Duration oldest{};
  for (const auto& [name, share] : this->peers) {
    const Duration age = now - share.told_at;
    if (age <= kShareLife) {
      oldest = std::max(oldest, age);
    }
  }
  return oldest;
}

}  // namespace rosemarycove
