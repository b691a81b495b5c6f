// One real instance with its stand-ins, on ephemeral loopback ports.
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

// What a caller got back.
struct CallResult {
  int status = 0;
  std::string body;
  httplib::Headers headers;
  // The transport failed.
  bool broken = false;

  [[nodiscard]] std::string Header(const std::string& name) const;
  [[nodiscard]] bool Has(const std::string& text) const {
    return this->body.find(text) != std::string::npos;
  }
};

// Builds an instance that runs alone, with fast engines.
class HttpFixture {
 public:
  explicit HttpFixture(int engine_count);
  ~HttpFixture();

  // Sends a chat request with the customer's key.
  CallResult Chat(const std::string& body, const httplib::Headers& extra = {});
  // Sends a plain service call.
  CallResult Order(const std::string& body, const httplib::Headers& extra = {});
  CallResult Post(const std::string& path, const std::string& body,
                  const httplib::Headers& headers);
  CallResult Get(int port, const std::string& path,
                 const httplib::Headers& headers = {});
  // Sends raw bytes and reads until the other end closes.
  std::string Raw(const std::string& bytes);
  // Opens a connection to the callers' port; the caller closes it.
  int Connect();
  // A counter of /operator/v1/status.
  std::uint64_t Counter(const std::string& name);
  // Waits until a counter has the value; false when it does not come.
  bool AwaitCounter(const std::string& name, std::uint64_t value);

  static std::string ChatBody(bool stream, int tokens);

  std::vector<std::unique_ptr<standins::EngineStandin>> engines;
  standins::PlainServiceStandin orders{"orders"};
  std::unique_ptr<Instance> instance;
};

}  // namespace rosemarycove
