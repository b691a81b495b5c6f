#include "core/prompt_cache_map.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// Limits the map to a few megabytes; the oldest entries are evicted first.
constexpr std::size_t kMaxEntries = 20000;
// A part that was not sent again within this time has probably been evicted.
constexpr Duration kCacheLifetime = std::chrono::seconds(60);

}  // namespace

std::span<const PromptPart> SharedParts(const std::vector<PromptPart>& parts) {
  return std::span(parts).first(parts.empty() ? 0 : parts.size() - 1);
}

void PromptCacheMap::RecordPrompt(const std::string& server,
                                  const std::vector<PromptPart>& parts,
                                  TimePoint now) {
  const std::uint64_t server_hash = IdHash(server);
  for (const PromptPart& part : parts) {
    const PartAtServer key{.part = part.id, .server_hash = server_hash};
    this->last_sent[key] = now;
    this->send_history.emplace_back(now, key);
  }
  while (this->send_history.size() > kMaxEntries) {
    const auto& [at, key] = this->send_history.front();
    const auto found = this->last_sent.find(key);
    if (found != this->last_sent.end() && found->second == at) {
      this->last_sent.erase(found);
    }
    this->send_history.pop_front();
  }
}

int PromptCacheMap::CachedTokens(const std::string& server,
                                 const std::vector<PromptPart>& parts,
                                 TimePoint now) const {
  const std::uint64_t server_hash = IdHash(server);
  int tokens = 0;
  for (const PromptPart& part : parts) {
    const auto found =
        this->last_sent.find({.part = part.id, .server_hash = server_hash});
    if (found == this->last_sent.end() ||
        now - found->second > kCacheLifetime) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

void PromptCacheMap::Forget(const std::string& server) {
  const std::uint64_t server_hash = IdHash(server);
  std::erase_if(this->last_sent, [server_hash](const auto& item) {
    return item.first.server_hash == server_hash;
  });
}

std::uint64_t RendezvousScore(std::uint64_t key, const std::string& candidate) {
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(), key);
}

double UnitScore(std::uint64_t key, const std::string& candidate) {
  constexpr double kScoreRange = 18446744073709551616.0;  // 2^64.
  return static_cast<double>(RendezvousScore(key, candidate)) / kScoreRange;
}

}  // namespace rosemarycove
