// Tests of the requests that `serve` makes itself, against an endpoint whose
// bytes never end: it sends until the connection is closed.
#include <atomic>
#include <chrono>
#include <thread>

#include "platform/standins/raw_server.h"
#include "store/http_key_value_store.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// More than an instance may hold of one response, and socket buffers.
constexpr std::size_t kMaxAcceptedBytes = std::size_t{32} << 20U;

// Answers with a beginning and then a text without end.
class EndlessEndpoint {
 public:
  EndlessEndpoint(std::string begin, std::string repeated,
                  milliseconds pause = milliseconds(0))
      : begin(std::move(begin)),
        repeated(std::move(repeated)),
        pause(pause),
        server([this](RawConnection& connection) {
          if (connection.ReadMessage()) {
            this->SendWithoutEnd(connection);
          }
        }) {}
  ~EndlessEndpoint() { this->is_stopping = true; }

  [[nodiscard]] int port() const { return this->server.port(); }
  [[nodiscard]] std::size_t sent_bytes() const { return this->sent; }

 private:
  void SendWithoutEnd(RawConnection& connection) {
    connection.Send(this->begin);
    while (!this->is_stopping && this->sent <= kMaxAcceptedBytes &&
           connection.Send(this->repeated)) {
      this->sent += this->repeated.size();
      std::this_thread::sleep_for(this->pause);
    }
  }

  std::string begin;
  std::string repeated;
  milliseconds pause;
  std::atomic<std::size_t> sent = 0;
  std::atomic<bool> is_stopping = false;
  // The last member, because its threads use all others.
  RawServer server;
};

constexpr char kUntilClose[] = "HTTP/1.1 200 OK\r\n\r\n";

void CheckIsCutOff(const EndlessEndpoint& endpoint) {
  HttpKeyValueStore store("127.0.0.1", endpoint.port(), milliseconds(300));
  CHECK(!store.Get("configuration"));
  CHECK(endpoint.sent_bytes() <= kMaxAcceptedBytes);
}

}  // namespace

TEST_GROUP(EndlessAnswersToServe){};

// Guards against a process that runs out of memory, since it keeps a body that
// has no end.
TEST(EndlessAnswersToServe, BodyIsCutOff) {
  CheckIsCutOff(EndlessEndpoint(kUntilClose, std::string(65536, 'x')));
}

// The same with the fields of a head.
TEST(EndlessAnswersToServe, FieldsAreCutOff) {
  std::string fields;
  while (fields.size() < 65536) {
    fields += "X-Field: value\r\n";
  }
  CheckIsCutOff(EndlessEndpoint("HTTP/1.1 200 OK\r\n", fields));
}

// Guards against a call that never ends, since each read is in time.
TEST(EndlessAnswersToServe, SlowBodyIsCutOff) {
  const EndlessEndpoint endpoint(kUntilClose, "x", milliseconds(50));
  const auto start = Clock::now();
  HttpKeyValueStore store("127.0.0.1", endpoint.port(), milliseconds(300));
  CHECK(!store.Get("configuration"));
  CHECK(Clock::now() - start < std::chrono::seconds(5));
}
