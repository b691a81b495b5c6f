// Predicts which parts of a prompt each backend server has cached. Used by
// Placer.
#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

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

// Records to which servers parts were sent. This is only an estimate of what is
// cached, since servers evict parts without notice. Owned by a Placer.
class PromptCacheMap {
 public:
  // Records that a request with these parts is sent to the server.
  void RecordPrompt(const std::string& server,
                    const std::vector<PromptPart>& parts, TimePoint now);
  // Returns the number of tokens of the leading parts that the server probably
  // caches.
  [[nodiscard]] int CachedTokens(const std::string& server,
                                 const std::vector<PromptPart>& parts,
                                 TimePoint now) const;
  // Drops the record of a server that restarted or is gone.
  void Forget(const std::string& server);

 private:
  struct PartAtServer {
    std::uint64_t part = 0;
    // IdHash of the server's id.
    std::uint64_t server_hash = 0;
    bool operator==(const PartAtServer&) const = default;
  };
  struct Hash {
    std::size_t operator()(const PartAtServer& key) const {
      return key.part * 0x9E3779B97F4A7C15U ^ key.server_hash;
    }
  };

  std::unordered_map<PartAtServer, TimePoint, Hash> last_sent;
  // Every time that a part was sent, oldest first, for eviction.
  std::deque<std::pair<TimePoint, PartAtServer>> send_history;
};

// Returns the score of a candidate for a key, such as a server for a prompt
// part, by rendezvous hashing (highest random weight). All instances agree on
// the candidate with the highest score without communication, and adding or
// removing a candidate moves only its own keys.
std::uint64_t RendezvousScore(std::uint64_t key, const std::string& candidate);
// The same score as a number from 0 to 1.
double UnitScore(std::uint64_t key, const std::string& candidate);

}  // namespace rosemarycove
