// Which software version began each stream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/seeded_hash.h"
#include "core/types.h"

namespace rosemarycove {

// Identifies a stream by the request that received its first event: a hash of
// its customer and id, the same at every instance.
std::uint64_t StreamHash(const std::string& customer,
                         const std::string& request_id);

// A stream and the software that began it.
struct StreamOrigin {
  // See StreamHash.
  std::uint64_t stream = 0;
  // See SoftwareHash.
  std::uint64_t software = 0;

  bool operator==(const StreamOrigin&) const = default;
};

// Remembers for a while which software began each stream, so that it goes on
// only there. Instances tell each other of their own streams, each once to each
// peer, while a stream can have been begun by several versions; see
// SoftwareHistory.
//
// Each gateway instance owns one and uses it on its event loop.
class StreamOrigins {
 public:
  // Records that this instance began to send a stream.
  void Add(const StreamOrigin& origin, TimePoint now);
  // Records that a stream is complete, so that nobody resumes it.
  void RecordCompletion(std::uint64_t stream);
  // Adds what another instance told.
  void Merge(const std::vector<StreamOrigin>& origins, TimePoint now);
  // Drops streams that are older than `max_age`.
  void Expire(Duration max_age, TimePoint now);

  // Returns the software that began the stream, if it is known.
  [[nodiscard]] std::optional<std::uint64_t> Find(std::uint64_t stream) const;
  // Returns the own streams that were added after the first `told` ones and are
  // not complete.
  [[nodiscard]] std::vector<StreamOrigin> AddedSince(std::uint64_t told) const;
  // The number of own streams that were ever added.
  [[nodiscard]] std::uint64_t added_count() const { return this->added; }
  [[nodiscard]] std::size_t size() const { return this->streams.size(); }

 private:
  struct Stream {
    std::uint64_t software = 0;
    TimePoint added_at;
    // Position among the own streams, from 1; 0 if another instance told it.
    std::uint64_t position = 0;
    bool is_complete = false;
  };

  void Insert(const StreamOrigin& origin, std::uint64_t position,
              TimePoint now);

  // By StreamHash.
  std::unordered_map<std::uint64_t, Stream, SeededHash> streams;
  // The streams in the order in which they were added; a stream may occur
  // several times.
  std::deque<std::pair<TimePoint, std::uint64_t>> order;
  // The own streams among them.
  std::deque<std::uint64_t> own_order;
  std::uint64_t added = 0;
};

}  // namespace rosemarycove
