// A stand-in for a backend server that records when requests arrive.
#pragma once

#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"
#include "platform/standins/raw_server.h"

namespace rosemarycove {

class RecordingServer {
 public:
  // Returns the bytes of the response to a request.
  using Responder = std::function<std::string(const std::string& request)>;

  explicit RecordingServer(Responder responder)
      : responder(std::move(responder)) {}

  // Sets what the server responds from now on.
  void Respond(Responder new_responder) {
    const std::lock_guard lock(this->mutex);
    this->responder = std::move(new_responder);
  }
  // Returns the handler for a RawServer, which must not outlive this object.
  platform::RawServer::Handler Handler() {
    return [this](platform::RawConnection& connection) {
      while (const auto request = connection.ReadMessage()) {
        Responder respond;
        {
          const std::lock_guard lock(this->mutex);
          this->times.push_back(std::chrono::steady_clock::now());
          respond = this->responder;
        }
        connection.Send(respond(*request));
      }
    };
  }
  // Returns the number of requests that arrived at or after `start`.
  [[nodiscard]] int CountSince(TimePoint start) {
    const std::lock_guard lock(this->mutex);
    int count = 0;
    for (const TimePoint at : this->times) {
      count += at >= start ? 1 : 0;
    }
    return count;
  }
  [[nodiscard]] int count() { return this->CountSince(TimePoint{}); }
  // Returns when the requests arrived.
  [[nodiscard]] std::vector<TimePoint> arrivals() {
    const std::lock_guard lock(this->mutex);
    return this->times;
  }

 private:
  // Guards all members.
  std::mutex mutex;
  Responder responder;
  std::vector<TimePoint> times;
};

}  // namespace rosemarycove
