#include "core/stream_origins.h"

#include <algorithm>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// Streams that are remembered at most; the oldest make room.
constexpr std::size_t kMaxStreams = 50'000;

}  // namespace

std::uint64_t StreamHash(const std::string& customer,
                         const std::string& request_id) {
  return IdHash(customer + '\n' + request_id);
}

void StreamOrigins::Insert(const StreamOrigin& origin, std::uint64_t position,
                           TimePoint now) {
  this->streams[origin.stream] = {
      .software = origin.software, .added_at = now, .position = position};
  this->order.emplace_back(now, origin.stream);
  if (this->order.size() > kMaxStreams) {
    this->Expire(now - this->order.front().first, now);
  }
}

void StreamOrigins::Add(const StreamOrigin& origin, TimePoint now) {
  this->own_order.push_back(origin.stream);
  this->Insert(origin, ++this->added, now);
}

void StreamOrigins::RecordCompletion(std::uint64_t stream) {
  const auto found = this->streams.find(stream);
  if (found != this->streams.end()) {
    found->second.is_complete = true;
  }
}

void StreamOrigins::Merge(const std::vector<StreamOrigin>& origins,
                          TimePoint now) {
  for (const StreamOrigin& origin : origins) {
    // What this instance saw itself comes first.
    const auto found = this->streams.find(origin.stream);
    if (found == this->streams.end() || found->second.position == 0) {
      this->Insert(origin, 0, now);
    }
  }
}

void StreamOrigins::Expire(Duration max_age, TimePoint now) {
  while (!this->order.empty() && now - this->order.front().first >= max_age) {
    const auto [added_at, stream] = this->order.front();
    this->order.pop_front();
    const auto found = this->streams.find(stream);
    if (found == this->streams.end() || found->second.added_at != added_at) {
      continue;
    }
    this->streams.erase(found);
  }
  while (!this->own_order.empty() &&
         !this->streams.contains(this->own_order.front())) {
    this->own_order.pop_front();
  }
}

std::optional<std::uint64_t> StreamOrigins::Find(std::uint64_t stream) const {
  const auto found = this->streams.find(stream);
  return found == this->streams.end() ? std::nullopt
                                      : std::optional(found->second.software);
}

std::vector<StreamOrigin> StreamOrigins::AddedSince(std::uint64_t told) const {
  std::vector<StreamOrigin> origins;
  // The newest come last, so those that were told are skipped from there.
  for (auto at = this->own_order.rbegin(); at != this->own_order.rend(); ++at) {
    const auto found = this->streams.find(*at);
    if (found == this->streams.end()) {
      continue;
    }
    if (found->second.position <= told) {
      break;
    }
    if (!found->second.is_complete) {
      origins.push_back({.stream = *at, .software = found->second.software});
    }
  }
  std::reverse(origins.begin(), origins.end());
  return origins;
}

}  // namespace rosemarycove
