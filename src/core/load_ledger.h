// What all instances together have at each backend server.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// Work at one backend server.
struct ServerLoad {
  // Requests sent and not yet ended.
  int running = 0;
  // Prompt tokens that were sent and are not known to be read yet.
  int prefill_tokens = 0;
  // Tokens of prompts and expected answers.
  int kv_tokens = 0;
  // Of the unread tokens, those of prompts so long that reading them pauses
  // the streams beside them.
  int long_prefill_tokens = 0;
  // Streams with a short gap target.
  int gap_sensitive_streams = 0;

  ServerLoad& operator+=(const ServerLoad& other);
  bool operator==(const ServerLoad&) const = default;
};

// A server's load under the number that stands for the server on the wire.
struct ServerLoadEntry {
  std::uint64_t server_hash = 0;
  ServerLoad load;
};

// The number that stands for a server among instances.
std::uint64_t IdHash(std::string_view id);

// Adds up this instance's own requests and what the others tell of theirs.
//
// A share is exact at the instance that holds it and as old as its last report
// everywhere else. The share of an instance that fell silent counts no more.
class LoadLedger {
 public:
  // Changes this instance's own share.
  void Add(const std::string& server, const ServerLoad& change);
  void Subtract(const std::string& server, const ServerLoad& change);
  // Takes another instance's whole share, in place of the one before.
  void SetPeerLoads(const std::string& peer,
                    const std::vector<ServerLoadEntry>& loads, TimePoint now);
  void RemovePeer(const std::string& peer);

  [[nodiscard]] ServerLoad TotalLoad(const std::string& server,
                                     TimePoint now) const;
  [[nodiscard]] ServerLoad OwnLoad(const std::string& server) const;
  // This instance's share, for the other instances.
  [[nodiscard]] std::vector<ServerLoadEntry> OwnLoads() const;
  // Age of the oldest share that counts; zero without any.
  [[nodiscard]] Duration MaxPeerAge(TimePoint now) const;

 private:
  struct PeerShare {
    std::unordered_map<std::uint64_t, ServerLoad> loads;
    TimePoint told_at;
  };

  std::unordered_map<std::uint64_t, ServerLoad> own;
  std::map<std::string, PeerShare> peers;
};

}  // namespace rosemarycove
