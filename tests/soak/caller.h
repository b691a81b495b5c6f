// A caller that uses each connection until it ends.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "platform/standins/raw_server.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/promises.h"
#include "tests/soak/random.h"
#include "tests/soak/requests.h"

namespace rosemarycove::soak {

class Caller {
 public:
  Caller(int number, std::uint64_t seed, std::vector<GatewayProcess*> gateways,
         Promises& promises);
  // Waits for the end of its connection.
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // Ends the caller once its connection has ended.
  void Stop() { this->is_stopping = true; }
  [[nodiscard]] bool is_done() const { return this->has_ended; }
  // Ends the wait for a response that is overdue.
  void GiveUpIfSilent();

 private:
  void Run();
  // Returns whether the connection can be used again.
  bool SendOne(const std::string& instance, bool follows_close);
  // Returns whether a request was pending before.
  bool SetPending(std::optional<SentRequest> request);

  int number;
  int sent_count = 0;
  Random random;
  std::vector<GatewayProcess*> gateways;
  Promises& promises;
  // The response before this one announced the end of the connection.
  bool is_last = false;
  std::chrono::milliseconds pause{};
  std::atomic<bool> is_stopping = false;
  std::atomic<bool> has_ended = false;
  // Guards the members below against GiveUpIfSilent.
  std::mutex mutex;
  std::unique_ptr<platform::RawConnection> connection;
  std::optional<SentRequest> pending;
  // The last member, because it uses all others.
  std::thread thread;
};

}  // namespace rosemarycove::soak
