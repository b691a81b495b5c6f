// Predicts which parts of a prompt each backend server has cached.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// A part of a prompt, identified by its caller. A cached part saves prefill
// work only if all parts before it are cached too.
struct PromptPart {
  std::uint64_t id = 0;
  int tokens = 0;
};

// Remembers where parts were sent. This only hints at what is cached, since
// servers evict parts without notice.
class PromptCacheMap {
 public:
  // Records that a request with these parts is sent to the server.
  void RecordPrompt(const std::string& server,
                    const std::vector<PromptPart>& parts, TimePoint now);
  // Returns the tokens of the leading parts that the server probably caches.
  [[nodiscard]] int CachedTokens(const std::string& server,
                                 const std::vector<PromptPart>& parts,
                                 TimePoint now) const;
  // Drops what was sent to a server that restarted or left.
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
  // All sends in order of time, for eviction.
  std::deque<std::pair<TimePoint, PartAtServer>> send_history;
};

// Returns the rendezvous hash (highest random weight) of a key and a node, such
// as a prompt part and a server. All instances agree on the node with the
// highest score without communication, and a node that joins or leaves moves
// only its own keys.
std::uint64_t RendezvousScore(std::uint64_t key, const std::string& node);

}  // namespace rosemarycove
