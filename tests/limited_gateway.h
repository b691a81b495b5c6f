// A gateway process with low limits, and crowds of clients that nobody
// controls.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "platform/standins/raw_server.h"
#include "platform/standins/store_standin.h"
#include "tests/soak/gateway_process.h"

namespace rosemarycove {

inline constexpr std::size_t kKilobyte = 1024;
inline constexpr std::size_t kMegabyte = kKilobyte * kKilobyte;

// A client's connection that never blocks.
class CrowdClient {
 public:
  // `head` is sent before the body; if it is empty, nothing is sent.
  CrowdClient(int port, std::string head, bool is_slow_reader);
  ~CrowdClient();
  CrowdClient(const CrowdClient&) = delete;
  CrowdClient& operator=(const CrowdClient&) = delete;

  // Sends the head or up to `count` bytes of the body that follows it. Returns
  // whether any were sent.
  bool SendSome(const std::string& body, std::size_t body_bytes,
                std::size_t count);
  [[nodiscard]] bool has_sent_head() const {
    return this->sent >= this->head.size();
  }

 private:
  std::string head;
  int descriptor = -1;
  std::size_t sent = 0;
  bool is_open = false;
};

using Crowd = std::vector<std::unique_ptr<CrowdClient>>;

// What each client of a crowd sends.
struct CrowdPlan {
  std::string path = "/upload/";
  // Fields of the head, among them those that tell the length of the body.
  std::string fields;
  std::string body;
  int clients = 100;
  // Bytes of one write; fewer than the whole body send it piece by piece.
  std::size_t piece_bytes = 256 * kKilobyte;
  // All clients send their bodies to the end.
  bool all_whole = false;
  // The clients have small receive buffers and never read.
  bool slow_readers = false;
  // The clients connect where other instances relay requests.
  bool through_relay = false;
  // The clients connect and send nothing.
  bool is_silent = false;
};

// Settings and limits of the configuration.
struct LimitedGatewayOptions {
  // `limits.memory_mb` and `limits.max_fds`, which the process must keep.
  int memory_mb = 64;
  int max_descriptors = 900;
  std::size_t max_header_bytes = 8 * kKilobyte;
  std::size_t max_body_bytes = kMegabyte;
  std::chrono::milliseconds idle_timeout{60000};
  // Nobody reads what the process logs.
  bool has_unread_log = false;
};

// A store, a server for the requests of crowds at /upload/, one for those of
// ordinary callers at /ordinary/, and a gateway with low limits.
class LimitedGateway {
 public:
  explicit LimitedGateway(platform::RawServer::Handler upload_handler,
                          LimitedGatewayOptions options = {},
                          platform::RawServer::Handler ordinary_handler = {});
  ~LimitedGateway();
  LimitedGateway(const LimitedGateway&) = delete;
  LimitedGateway& operator=(const LimitedGateway&) = delete;

  // Checks that the process lives within its limits beside the crowd, and then
  // answers an ordinary request while the crowd is still connected.
  void CheckSurvives(const CrowdPlan& plan);
  // Connects a crowd and sends what the gateway takes of its requests.
  Crowd SendCrowd(const CrowdPlan& plan);
  // Checks that the process lives within its limits, and answers an ordinary
  // request.
  void CheckServes();
  // Sends a request on the connection and waits for its response. Returns
  // whether it has the status 200.
  static bool IsServed(platform::RawConnection& connection,
                       const std::string& request);
  // Opens a caller's connection on which reading ends after some time.
  [[nodiscard]] std::unique_ptr<platform::RawConnection> Connect() const;
  // Returns the processor time that the process has used so far.
  [[nodiscard]] std::chrono::milliseconds ProcessorTime() const;

 private:
  [[nodiscard]] std::string Configuration() const;
  static std::string RequestHead(const CrowdPlan& plan, int client);
  void AddServer(const std::string& id, const std::string& service,
                 const std::string& address);
  void SendBodies(const CrowdPlan& plan, const Crowd& clients);
  void RecordUsage();
  [[nodiscard]] bool AnswersOrdinaryRequest() const;

  LimitedGatewayOptions options;
  std::string folder;
  // The pipe that nobody reads; -1 if the log is a file.
  int unread_log = -1;
  platform::StoreStandin store;
  platform::RawServer uploads;
  platform::RawServer ordinary;
  soak::GatewayProcess process;
  soak::ProcessUsage peak;
  bool is_answered_before = false;
};

// Answers each request with a short response.
void AnswerRequests(platform::RawConnection& connection);
// Returns a handler that answers no request before the flag is set.
platform::RawServer::Handler AnswerWhen(std::atomic<bool>& flag);

// Ends what waits for the flag when a test ends, also after a failed check.
class FlagOnExit {
 public:
  explicit FlagOnExit(std::atomic<bool>& flag) : flag(flag) {}
  ~FlagOnExit() { this->flag = true; }
  FlagOnExit(const FlagOnExit&) = delete;
  FlagOnExit& operator=(const FlagOnExit&) = delete;

 private:
  std::atomic<bool>& flag;
};

// Returns a header field that states the length of the body.
std::string LengthField(std::size_t bytes);

}  // namespace rosemarycove
