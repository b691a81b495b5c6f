// An instance and its stand-ins, on ephemeral loopback ports.
#pragma once

#include <httplib.h>

#include <memory>
#include <string>
#include <vector>

#include "app/instance.h"
#include "standins/engine_standin.h"
#include "standins/plain_service_standin.h"
#include "standins/store_standin.h"

namespace rosemarycove {

// The result of a caller's HTTP request.
struct CallResult {
  int status = 0;
  std::string body;
  httplib::Headers headers;
  // There was no valid HTTP response.
  bool transport_failed = false;

  [[nodiscard]] std::string Header(const std::string& name) const;
  [[nodiscard]] bool Contains(const std::string& text) const {
    return this->body.find(text) != std::string::npos;
  }
};

// Runs an instance without peers, with fast engines.
class HttpFixture {
 public:
  // `max_body` is the limit of a caller's request, in bytes.
  explicit HttpFixture(int engine_count, int max_body = 10000);
  ~HttpFixture();

  // Sends a chat request with the customer's key.
  CallResult Chat(const std::string& body, const httplib::Headers& extra = {});
  // Sends a request to a plain service with the customer's key.
  CallResult PostOrder(const std::string& body,
                       const httplib::Headers& extra = {});
  CallResult Post(const std::string& path, const std::string& body,
                  const httplib::Headers& headers);
  CallResult Get(int port, const std::string& path,
                 const httplib::Headers& headers = {});
  // Sends bytes on a new connection and reads until the other end closes it.
  std::string SendRaw(const std::string& bytes);
  // Connects to the callers' port; whoever calls this closes the socket.
  int Connect();
  // Returns a counter of /operator/v1/status.
  std::uint64_t Counter(const std::string& name);
  // Waits until a counter has the value; returns false after a timeout.
  bool AwaitCounter(const std::string& name, std::uint64_t value);

  static std::string ChatBody(bool stream, int tokens);

  std::vector<std::unique_ptr<standins::EngineStandin>> engines;
  standins::PlainServiceStandin orders{"orders"};
  std::unique_ptr<Instance> instance;
};

}  // namespace rosemarycove
