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
  this->unread_tokens += other.unread_tokens;
  this->held_tokens += other.held_tokens;
  this->long_unread_tokens += other.long_unread_tokens;
  this->brittle_streams += other.brittle_streams;
  return *this;
}

std::uint64_t ServerNumber(std::string_view id) {
  return XXH3_64bits(id.data(), id.size());
}

void LoadLedger::Add(const std::string& server, const ServerLoad& change) {
  this->own[ServerNumber(server)] += change;
}

void LoadLedger::Subtract(const std::string& server, const ServerLoad& change) {
  const auto found = this->own.find(ServerNumber(server));
  if (found == this->own.end()) {
    return;
  }
  found->second += ServerLoad{.running = -change.running,
                              .unread_tokens = -change.unread_tokens,
                              .held_tokens = -change.held_tokens,
                              .long_unread_tokens = -change.long_unread_tokens,
                              .brittle_streams = -change.brittle_streams};
  if (found->second == ServerLoad{}) {
    this->own.erase(found);
  }
}

void LoadLedger::SetPeer(const std::string& peer,
                         const std::vector<NumberedLoad>& loads,
                         TimePoint now) {
  PeerShare& share = this->peers[peer];
  share.told_at = now;
  share.loads.clear();
  for (const NumberedLoad& item : loads) {
    share.loads[item.server] += item.load;
  }
}

void LoadLedger::RemovePeer(const std::string& peer) {
  this->peers.erase(peer);
}

ServerLoad LoadLedger::Total(const std::string& server, TimePoint now) const {
  const std::uint64_t number = ServerNumber(server);
  ServerLoad total = this->Own(server);
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

ServerLoad LoadLedger::Own(const std::string& server) const {
  const auto found = this->own.find(ServerNumber(server));
  return found == this->own.end() ? ServerLoad{} : found->second;
}

std::vector<NumberedLoad> LoadLedger::OwnShare() const {
  std::vector<NumberedLoad> share;
  share.reserve(this->own.size());
  for (const auto& [server, load] : this->own) {
    share.push_back({.server = server, .load = load});
  }
  return share;
}

Duration LoadLedger::Age(TimePoint now) const {
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
