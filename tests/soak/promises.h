// Checks what the gateways promise, from what callers and servers see.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "tests/soak/requests.h"

namespace rosemarycove::soak {

// A promise that was broken, with the request concerned, if there is one.
struct BrokenPromise {
  std::string what;
  std::string request;
};

// How a connection ended on which a request had been sent.
enum class ConnectionEnd : std::uint8_t {
  kAfterReading,  // The request was read, or discarded.
  kUnread,        // The request had not been read.
};

struct PromiseOptions {
  // Instances that are cut off from all servers must serve, too.
  bool checks_served = false;
};

// Used by the threads of all callers and servers.
class Promises {
 public:
  explicit Promises(PromiseOptions options) : options(options) {}

  // The store holds a configuration with a key for each customer that it and
  // the next three versions accept.
  void OnConfiguration(int version);
  // The store turns some instances away and serves the others.
  void OnStoreRefusal();
  // The store was disturbed up to now: what depends on writes to it needs not
  // hold until some time later.
  void OnStoreDisturbance();
  // The same for one instance that did not run.
  void OnDisturbance(const std::string& instance);
  // The instance is about to be killed, and has been.
  void OnKill(const std::string& instance);
  void OnKilled(const std::string& instance);
  // The instance gets SIGTERM; open requests may be cut off shortly before this
  // time.
  void OnStop(const std::string& instance, Clock::time_point end_of_grace);
  void OnStart(const std::string& instance);
  // The links of the instance to some or all servers are cut.
  void OnCut(const std::string& instance, bool is_whole);
  void OnHealed(const std::string& instance);
  // The store holds that the server leaves.
  void OnServerLeaves(const std::string& server);

  // A server runs the request.
  void OnRun(const std::string& request, const std::string& server,
             bool is_unchanged);
  // The server broke off its response by itself.
  void OnBreakOff(const std::string& request);
  // The caller is about to send the request.
  void OnSend(const SentRequest& request);
  void OnResponse(const SentRequest& request, const Response& response);
  void OnConnectionEnd(const SentRequest& request, ConnectionEnd end);
  void OnSilence(const SentRequest& request);
  void Report(const std::string& what, const std::string& request = "");
  // Checks what depends on the whole run.
  void Finish();

  // The version whose keys callers should use.
  [[nodiscard]] int GoodVersion();
  // The newest version whose keys must not be accepted any more.
  [[nodiscard]] std::optional<int> RevokedVersion();
  [[nodiscard]] std::vector<BrokenPromise> broken();
  // Counts of responses and ended connections, one a line.
  [[nodiscard]] std::string Summary();

 private:
  struct Request {
    Kind kind = Kind::kOnce;
    std::string instance;
    std::vector<std::string> servers;
    bool is_not_run = false;
    // Its connection ended with the request unread.
    bool is_unread = false;
    bool was_broken_off = false;
  };
  struct Instance {
    Clock::time_point disturbed_until;
    std::optional<Clock::time_point> killed_at;
    Clock::time_point started_at;
    // Of the process that got SIGTERM last.
    std::optional<Clock::time_point> end_of_grace;
    bool is_stopping = false;
    // The last cut; its end is unknown while it lasts.
    std::optional<Clock::time_point> cut_at;
    std::optional<Clock::time_point> healed_at;
    bool is_cut_off = false;
  };
  struct Tally {
    int sent = 0;
    int served = 0;
    int refused = 0;
    [[nodiscard]] double Share(int count) const {
      return this->sent == 0 ? 0 : static_cast<double>(count) / this->sent;
    }
  };

  // All called with the mutex locked.
  void CheckSuccess(const SentRequest& request, const Response& response,
                    const Request& record);
  void CheckRejectedKey(const SentRequest& request);
  // Counts what Finish compares.
  void Count(const SentRequest& request, int status);
  [[nodiscard]] bool WasKilled(const SentRequest& request) const;
  // Whether links of the instance were cut at this time, or shortly before.
  [[nodiscard]] static bool WasCut(const Instance& instance,
                                   Clock::time_point at);
  // Whether the response may end early.
  [[nodiscard]] bool MayBreakOff(const SentRequest& request,
                                 const Request& record) const;
  // The number of versions up to the newest one that must be in force for a
  // request of this time.
  [[nodiscard]] int SettledVersion(const std::string& instance,
                                   Clock::time_point at) const;
  // Whether a write must have its effect on a request of this time.
  [[nodiscard]] bool IsSettled(const std::string& instance,
                               Clock::time_point written_at,
                               Clock::time_point at) const;
  void Break(const std::string& what, const std::string& request);

  PromiseOptions options;
  std::mutex mutex;
  // When each version was written, from version 1.
  std::vector<Clock::time_point> written_at;
  Clock::time_point store_refused_until;
  Clock::time_point store_disturbed_until;
  std::map<std::string, Instance> instances;
  std::map<std::string, Clock::time_point> left_at;
  std::map<std::string, Request> requests;
  std::map<std::string, int> outcomes;
  std::map<std::string, Tally> by_customer;
  // At instances that are cut off, and at others in the meantime.
  Tally at_cut_off;
  Tally at_others;
  std::vector<BrokenPromise> broken_promises;
};

}  // namespace rosemarycove::soak
