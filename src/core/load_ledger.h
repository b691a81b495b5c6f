// The load that all instances together put on each backend server. Used by the
// proxy (src/proxy).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// The load on one backend server.
struct ServerLoad {
  // Requests that were sent and have not ended.
  int running = 0;
  // Prompt tokens that were sent and whose prefill may not be done.
  int prefill_tokens = 0;
  // Tokens of prompts and expected responses that the KV cache has to hold.
  int kv_tokens = 0;
  // The part of `prefill_tokens` that belongs to prompts so long that their
  // prefill pauses the other streams of the server.
  int long_prefill_tokens = 0;
  // Streams with a gap target of at most kMaxSensitiveGap (placer.cc).
  int gap_sensitive_streams = 0;

  ServerLoad& operator+=(const ServerLoad& other);
  bool operator==(const ServerLoad&) const = default;
};

// A server's load as instances report it to each other.
struct ServerLoadEntry {
  // IdHash of the server's id.
  std::uint64_t server_hash = 0;
  ServerLoad load;
};

// Returns the hash that identifies a server or service by its id or name in
// fleet reports; the same at every instance.
std::uint64_t IdHash(std::string_view id);

// Adds up the load of this instance's own requests and the loads that the other
// instances report. Owned by a Placer.
//
// The loads of this instance are exact; those of another instance are as old as
// its last report, and expire if it stops reporting.
class LoadLedger {
 public:
  // Adds to this instance's own load.
  void Add(const std::string& server, const ServerLoad& change);
  // Subtracts from this instance's own load.
  void Subtract(const std::string& server, const ServerLoad& change);
  // Replaces all loads of another instance by those that it reported.
  void SetPeerLoads(const std::string& peer,
                    const std::vector<ServerLoadEntry>& loads, TimePoint now);
  void RemovePeer(const std::string& peer);

  [[nodiscard]] ServerLoad TotalLoad(const std::string& server,
                                     TimePoint now) const;
  [[nodiscard]] ServerLoad OwnLoad(const std::string& server) const;
  // Returns the requests of each other instance that has any at the server, by
  // the instance's name.
  [[nodiscard]] std::vector<std::pair<std::string, int>> RunningByPeer(
      const std::string& server, TimePoint now) const;
  // Returns all of this instance's own loads, for fleet reports.
  [[nodiscard]] std::vector<ServerLoadEntry> OwnLoads() const;
  // Returns the age of the oldest report that has not expired; zero if there is
  // none.
  [[nodiscard]] Duration MaxPeerAge(TimePoint now) const;

 private:
  struct PeerLoads {
    // By IdHash of the server.
    std::unordered_map<std::uint64_t, ServerLoad> loads;
    TimePoint received_at;
  };

  // By IdHash of the server.
  std::unordered_map<std::uint64_t, ServerLoad> own_loads;
  // By instance name.
  std::map<std::string, PeerLoads> peers;
};

}  // namespace rosemarycove
