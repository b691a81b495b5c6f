// Predicts which parts of a prompt each backend server has cached. Used by
// Placer.
#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/seeded_hash.h"
#include "core/types.h"

namespace rosemarycove {

// A part of a prompt. A cached part saves prefill work only if all parts before
// it are cached too.
struct PromptPart {
  // Supplied by the caller; equal for equal parts.
  std::uint64_t id = 0;
  int tokens = 0;
};

// Returns the parts that other requests may have too: all but the last, which
// belongs to the request itself or to its session.
std::span<const PromptPart> SharedParts(const std::vector<PromptPart>& parts);

// Identifies a part of prompts at one lifetime of a backend server; the same at
// every instance.
using CachedPart = std::uint64_t;

// Records to which servers parts were sent, by this instance or by others. This
// is only an estimate of what is cached, since servers evict parts without
// notice. Servers are identified by LifetimeHash, so a server that starts again
// has nothing cached. Owned by a Placer.
//
// In a large fleet each instance sends few of the requests that share a part.
// So instances tell each other the shared parts that they send to a server for
// the first time.
class PromptCacheMap {
 public:
  // Records that a request with these parts is sent to the server.
  void RecordPrompt(std::uint64_t server, const std::vector<PromptPart>& parts,
                    TimePoint now);
  // Records what another instance told.
  void Merge(const std::vector<CachedPart>& parts, TimePoint now);
  // Returns the number of tokens of the leading parts that the server probably
  // caches.
  [[nodiscard]] int CachedTokens(std::uint64_t server,
                                 const std::vector<PromptPart>& parts,
                                 TimePoint now) const;
  // Returns the shared parts that were sent to a server of which nobody was
  // known to have sent them there, since the last call of MarkTold.
  [[nodiscard]] const std::vector<CachedPart>& untold() const {
    return this->new_parts;
  }
  // The other instances were told.
  void MarkTold() { this->new_parts.clear(); }

 private:
  [[nodiscard]] bool IsCached(CachedPart part, TimePoint now) const;
  void Insert(CachedPart part, TimePoint now);

  std::unordered_map<CachedPart, TimePoint, SeededHash> last_sent;
  // Every time that a part was sent, oldest first, for eviction.
  std::deque<std::pair<TimePoint, CachedPart>> send_history;
  std::vector<CachedPart> new_parts;
};

// Returns the score of a candidate for a key, such as a server for a prompt
// part, by rendezvous hashing (highest random weight). All instances agree on
// the candidate with the highest score without communication, and adding or
// removing a candidate moves only its own keys.
std::uint64_t RendezvousScore(std::uint64_t key, const std::string& candidate);
// The same score as a number from 0 to 1.
double UnitScore(std::uint64_t key, const std::string& candidate);

}  // namespace rosemarycove
