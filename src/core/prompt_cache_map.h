// Which backend server is likely to hold which part of a prompt.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// A part of a prompt, as its caller names it. Parts stand in order; a cached
// part helps only where all parts before it are cached too.
struct PromptPart {
  std::uint64_t id = 0;
  int tokens = 0;
};

// Remembers where parts were sent, as a hint: servers drop what is used least.
class PromptCacheMap {
 public:
  // A request with these parts was sent to the server.
  void RecordPrompt(const std::string& server,
                    const std::vector<PromptPart>& parts, TimePoint now);
  // Tokens of the leading parts that the server was sent before.
  [[nodiscard]] int CachedTokens(const std::string& server,
                                 const std::vector<PromptPart>& parts,
                                 TimePoint now) const;
  // The server restarted or left.
  void Forget(const std::string& server);

 private:
  struct PartAtServer {
    std::uint64_t part = 0;
    std::uint64_t server = 0;
    bool operator==(const PartAtServer&) const = default;
  };
  struct Hash {
    std::size_t operator()(const PartAtServer& key) const {
      return key.part * 0x9E3779B97F4A7C15U ^ key.server;
    }
  };

  std::unordered_map<PartAtServer, TimePoint, Hash> sent;
  std::deque<std::pair<TimePoint, PartAtServer>> by_age;
};

// How strongly a server is the home of a prompt part. The server with the
// highest value is the same at every instance without any exchange, and only
// the parts of a server that comes or goes find another one.
std::uint64_t RendezvousScore(std::uint64_t part, const std::string& server);

}  // namespace rosemarycove
