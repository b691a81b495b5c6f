// Checks what the gateways promise, from what callers and servers see.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace rosemarycove::soak {

using Clock = std::chrono::steady_clock;

// A promise that was broken, with the request concerned, if there is one.
struct BrokenPromise {
  std::string what;
  std::string request;
};

// A request that a caller has sent completely.
struct SentRequest {
  std::string id;
  std::string instance;
  // May run more than once.
  bool is_repeatable = false;
  std::string key;
  Clock::time_point sent_at;
};

// How a connection ended on which a request had been sent.
enum class ConnectionEnd : std::uint8_t {
  kAfterReading,  // The request was read, or discarded.
  kUnread,        // The request had not been read.
};

// Used by the threads of all callers and servers.
class Promises {
 public:
  // The store holds a configuration whose key is accepted by it and by the next
  // version only.
  void OnConfiguration(const std::string& key);
  // The store, or a process, was disturbed up to now: what depends on writes to
  // the store needs not hold until some time later.
  void OnDisturbance();
  // The instance is about to be killed, and has been.
  void OnKill(const std::string& instance);
  void OnKilled(const std::string& instance);
  // The store holds that the server leaves.
  void OnServerLeaves(const std::string& server);

  // A server received the request.
  void OnRun(const std::string& request, const std::string& server);
  void OnResponse(const SentRequest& request, int status,
                  const std::string& echoed_id, const std::string& body);
  void OnConnectionEnd(const SentRequest& request, ConnectionEnd end);
  void OnSilence(const SentRequest& request);
  void Report(const std::string& what, const std::string& request = "");

  // The key that callers should use: that of the version before the newest
  // one, which the newest one accepts too.
  [[nodiscard]] std::string GoodKey();
  // The newest key that must not be accepted any more; empty if there is none.
  [[nodiscard]] std::string RevokedKey();
  [[nodiscard]] std::vector<BrokenPromise> broken();
  // The number of responses by status.
  [[nodiscard]] std::map<int, int> response_counts();

 private:
  struct Configuration {
    std::string key;
    Clock::time_point written_at;
  };
  struct Request {
    std::vector<std::string> servers;
    bool is_not_run = false;
  };

  // All called with the mutex locked.
  // The number of configurations up to the newest one that must be in force
  // for a request of this time.
  [[nodiscard]] std::size_t SettledCount(Clock::time_point at) const;
  // Whether a write must have its effect on a request of this time.
  [[nodiscard]] bool IsSettled(Clock::time_point written_at,
                               Clock::time_point at) const;
  [[nodiscard]] bool IsRevoked(const std::string& key,
                               std::size_t configuration_count) const;
  void Break(const std::string& what, const std::string& request);

  std::mutex mutex;
  std::vector<Configuration> configurations;
  Clock::time_point disturbed_until;
  std::map<std::string, Clock::time_point> killed_at;
  std::map<std::string, Clock::time_point> left_at;
  std::map<std::string, Request> requests;
  std::map<int, int> responses;
  std::vector<BrokenPromise> broken_promises;
};

}  // namespace rosemarycove::soak
