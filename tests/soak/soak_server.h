// A stand-in for a backend server.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "platform/standins/raw_server.h"
#include "tests/soak/links.h"
#include "tests/soak/promises.h"
#include "tests/soak/random.h"

namespace rosemarycove::soak {

// Answers requests, mostly, and reports those that it runs. Passes bytes only
// as the links of the instance allow.
class SoakServer {
 public:
  SoakServer(std::string id, std::string service, std::uint64_t seed,
             const Links& links, Promises& promises);
  ~SoakServer();
  SoakServer(const SoakServer&) = delete;
  SoakServer& operator=(const SoakServer&) = delete;

  // The value of its entry in the store.
  [[nodiscard]] std::string Entry(const std::string& state) const;
  [[nodiscard]] int port() const { return this->server.port(); }
  // Sends nothing for this time and then goes on.
  void FallSilent(std::chrono::milliseconds time) {
    this->silent_until = Clock::now() + time;
  }
  // Resets the connections from this address.
  void ResetFrom(const std::string& address);

  const std::string id;
  const std::string service;
  bool is_draining = false;
  // When the process ends, once it leaves.
  std::optional<Clock::time_point> ends_at;

 private:
  // What the server does with a request.
  enum class Reaction : std::uint8_t {
    kResponds,
    kRefuses,  // Says that it did not run the request.
    kCloses,   // Closes the connection before the end of the response.
    kResets    // The same with a reset.
  };
  struct Plan {
    Reaction reaction = Reaction::kResponds;
    std::chrono::milliseconds delay{};
    std::chrono::milliseconds event_gap{};
    // The event after which the stream ends early.
    int last_event = 0;
  };

  void Serve(platform::RawConnection& connection);
  // Returns false if the connection is to be closed.
  bool Respond(platform::RawConnection& connection, const std::string& message,
               const InstanceLinks* from);
  bool SendStream(platform::RawConnection& connection,
                  const std::string& message, const Plan& plan,
                  const InstanceLinks* from);
  Plan MakePlan(int event_count);
  // Sends once the link lets bytes pass. Returns false if the connection or
  // the server has ended.
  bool Send(platform::RawConnection& connection, const InstanceLinks* from,
            const std::string& bytes);
  // Returns false if the link was reset or the server has ended.
  bool AwaitLink(const InstanceLinks* from);
  bool Sleep(std::chrono::milliseconds time);

  const Links& links;
  Promises& promises;
  std::atomic<bool> is_stopping = false;
  std::atomic<int> running = 0;
  std::atomic<Clock::time_point> silent_until = Clock::time_point();
  // Guards the members up to `server`.
  std::mutex mutex;
  Random random;
  std::map<platform::RawConnection*, std::string> address_by_connection;
  platform::RawServer server;
};

}  // namespace rosemarycove::soak
