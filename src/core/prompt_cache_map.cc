#include "core/prompt_cache_map.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// Entries kept; the oldest go first. Bounds the map to a few megabytes.
constexpr std::size_t kMostEntries = 20000;
// After this an engine has likely replaced a part that was not used again.
constexpr Duration kLikelyKept = std::chrono::seconds(60);

}  // namespace

void PromptCacheMap::RecordPrompt(const std::string& server,
                                  const std::vector<PromptPart>& parts,
                                  TimePoint now) {
  const std::uint64_t number = IdHash(server);
  for (const PromptPart& part : parts) {
    const PartAtServer key{.part = part.id, .server = number};
    this->sent[key] = now;
    this->by_age.emplace_back(now, key);
  }
  while (this->by_age.size() > kMostEntries) {
    const auto& [at, key] = this->by_age.front();
    const auto found = this->sent.find(key);
    if (found != this->sent.end() && found->second == at) {
      this->sent.erase(found);
    }
    this->by_age.pop_front();
  }
}

int PromptCacheMap::CachedTokens(const std::string& server,
                                 const std::vector<PromptPart>& parts,
                                 TimePoint now) const {
  const std::uint64_t number = IdHash(server);
  int tokens = 0;
  for (const PromptPart& part : parts) {
    const auto found = this->sent.find({.part = part.id, .server = number});
    if (found == this->sent.end() || now - found->second > kLikelyKept) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

void PromptCacheMap::Forget(const std::string& server) {
  const std::uint64_t number = IdHash(server);
  std::erase_if(this->sent, [number](const auto& item) {
    return item.first.server == number;
  });
}

std::uint64_t RendezvousScore(std::uint64_t part, const std::string& server) {
  return XXH3_64bits_withSeed(server.data(), server.size(), part);
}

}  // namespace rosemarycove
