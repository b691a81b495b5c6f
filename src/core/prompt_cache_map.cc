#include "core/prompt_cache_map.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rosemarycove {
namespace {

// Limits the map to a few megabytes; the oldest entries are evicted first.
constexpr std::size_t kMaxEntries = 20000;
// A part that was not sent again within this time has probably been evicted.
constexpr Duration kCacheLifetime = std::chrono::seconds(60);
// Parts that wait to be told to the other instances, at most. This bounds the
// size of a report.
constexpr std::size_t kMaxUntold = 256;

CachedPart CachedPartOf(std::uint64_t part, std::uint64_t server) {
  return XXH3_64bits_withSeed(&part, sizeof(part), server);
}

}  // namespace

std::span<const PromptPart> SharedParts(const std::vector<PromptPart>& parts) {
  return std::span(parts).first(parts.empty() ? 0 : parts.size() - 1);
}

void PromptCacheMap::RecordPrompt(std::uint64_t server,
                                  const std::vector<PromptPart>& parts,
                                  TimePoint now) {
  const std::size_t shared_count = SharedParts(parts).size();
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const CachedPart part = CachedPartOf(parts[i].id, server);
    if (i < shared_count && this->new_parts.size() < kMaxUntold &&
        !this->IsCached(part, now)) {
      this->new_parts.push_back(part);
    }
    this->Insert(part, now);
  }
}

void PromptCacheMap::Merge(const std::vector<CachedPart>& parts,
                           TimePoint now) {
  for (const CachedPart part : parts) {
    this->Insert(part, now);
  }
}

void PromptCacheMap::Insert(CachedPart part, TimePoint now) {
  this->last_sent[part] = now;
  this->send_history.emplace_back(now, part);
  while (this->send_history.size() > kMaxEntries) {
    const auto [at, oldest] = this->send_history.front();
    const auto found = this->last_sent.find(oldest);
    if (found != this->last_sent.end() && found->second == at) {
      this->last_sent.erase(found);
    }
    this->send_history.pop_front();
  }
}

bool PromptCacheMap::IsCached(CachedPart part, TimePoint now) const {
  const auto found = this->last_sent.find(part);
  return found != this->last_sent.end() &&
         now - found->second <= kCacheLifetime;
}

int PromptCacheMap::CachedTokens(std::uint64_t server,
                                 const std::vector<PromptPart>& parts,
                                 TimePoint now) const {
  int tokens = 0;
  for (const PromptPart& part : parts) {
    if (!this->IsCached(CachedPartOf(part.id, server), now)) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

std::uint64_t RendezvousScore(std::uint64_t key, const std::string& candidate) {
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(), key);
}

double UnitScore(std::uint64_t key, const std::string& candidate) {
  constexpr double kScoreRange = 18446744073709551616.0;  // 2^64.
  return static_cast<double>(RendezvousScore(key, candidate)) / kScoreRange;
}

}  // namespace rosemarycove
