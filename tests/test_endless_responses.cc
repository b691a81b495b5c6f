// Tests of the gateway against backend servers whose bytes never end: the
// server sends until the gateway closes the connection.
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <mutex>
#include <string>

#include "proxy/endpoint.h"
#include "proxy/http_client.h"
#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// More than the socket buffers of a loopback connection and what the gateway
// may hold of one response.
constexpr std::size_t kMaxAcceptedBytes = std::size_t{32} << 20U;

// An engine that answers each request with a beginning and then repeats a text
// without end. Counts the responses that the gateway cut off in time.
class EndlessEngine {
 public:
  EndlessEngine(std::string begin, std::string repeated)
      : begin(std::move(begin)),
        repeated(Repeat(repeated)),
        platform([this](RawConnection& connection) { Respond(connection); }),
        gateway("a", this->platform.store.address()) {
    this->gateway.AwaitReady();
  }

  // Sends a request and returns the whole response, as far as it came.
  std::string Send(const std::string& path) {
    const auto caller = this->Connect();
    caller->Send(PlatformFixture::Request(path, "r1", "Connection: close\r\n"));
    return caller->ReadToEnd();
  }
  // Waits until each response has been cut off or was accepted as a whole.
  void AwaitEnd() {
    std::unique_lock lock(this->mutex);
    this->ended.wait(lock, [this] {
      return this->ended_count > 0 && this->ended_count == this->responses();
    });
  }
  [[nodiscard]] std::unique_ptr<RawConnection> Connect() const {
    return this->gateway.Connect();
  }
  [[nodiscard]] int responses() const { return this->response_count; }
  [[nodiscard]] int cut_off() const { return this->cut_off_count; }

 private:
  static std::string Repeat(const std::string& text) {
    constexpr std::size_t kBlockBytes = std::size_t{64} << 10U;
    std::string block;
    while (block.size() < kBlockBytes) {
      block += text;
    }
    return block;
  }
  void Respond(RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      ++this->response_count;
      std::string head = this->begin;
      constexpr std::string_view kId = "{id}";
      if (const std::size_t at = head.find(kId); at != std::string::npos) {
        head.replace(at, kId.size(),
                     HeaderValue(*request, "Rosemarycove-Request-Id"));
      }
      connection.Send(head);
      std::size_t sent = 0;
      while (sent <= kMaxAcceptedBytes && connection.Send(this->repeated)) {
        sent += this->repeated.size();
      }
      if (sent <= kMaxAcceptedBytes) {
        ++this->cut_off_count;
      }
      const std::lock_guard lock(this->mutex);
      ++this->ended_count;
      this->ended.notify_all();
    }
  }

  std::string begin;
  std::string repeated;
  std::atomic<int> response_count = 0;
  std::atomic<int> cut_off_count = 0;
  std::mutex mutex;
  std::condition_variable ended;
  int ended_count = 0;
  PlatformFixture platform;
  RunningGateway gateway;
};

constexpr char kResponseFields[] =
    "Rosemarycove-Request-Id: {id}\r\nRosemarycove-Server-Seal: seal\r\n";

// Checks that the gateway cuts the response off, and that the caller gets the
// final response with this status line.
void CheckCutOff(const std::string& path, const std::string& begin,
                 const std::string& repeated, const std::string& status_line) {
  EndlessEngine engine(begin, repeated);
  const std::string response = engine.Send(path);
  STRCMP_EQUAL(status_line.c_str(),
               response.substr(0, response.find("\r\n")).c_str());
  engine.AwaitEnd();
  CHECK_EQUAL(engine.responses(), engine.cut_off());
}

const std::string kBadGateway = "HTTP/1.1 502 Bad Gateway";

}  // namespace

TEST_GROUP(EndlessResponses){};

TEST(EndlessResponses, HeadIsCutOff) {
  CheckCutOff("/once/x", "HTTP/1.1 200 OK\r\nX-Long: ", "a", kBadGateway);
}

TEST(EndlessResponses, FieldsAreCutOff) {
  CheckCutOff("/once/x", "HTTP/1.1 200 OK\r\n", "X-Field: a\r\n", kBadGateway);
}

TEST(EndlessResponses, BytesThatAreNoResponseAreCutOff) {
  CheckCutOff("/once/x", "", "a", kBadGateway);
}

TEST(EndlessResponses, InterimResponsesAreCutOff) {
  CheckCutOff("/once/x", "", "HTTP/1.1 102 Processing\r\n\r\n", kBadGateway);
}

TEST(EndlessResponses, ChunkExtensionIsCutOff) {
  CheckCutOff("/once/x",
              std::string("HTTP/1.1 200 OK\r\n") + kResponseFields +
                  "Transfer-Encoding: chunked\r\n\r\n5;x=",
              "a", kBadGateway);
}

TEST(EndlessResponses, TrailerIsCutOff) {
  CheckCutOff("/once/x",
              std::string("HTTP/1.1 200 OK\r\n") + kResponseFields +
                  "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n",
              "X-Trailer: a\r\n", kBadGateway);
}

TEST(EndlessResponses, ErrorBodyIsCutOff) {
  CheckCutOff("/once/x",
              std::string("HTTP/1.1 500 Internal Server Error\r\n") +
                  kResponseFields + "\r\n",
              "a", kBadGateway);
}

TEST(EndlessResponses, RejectionIsCutOffAndStaysNotRun) {
  CheckCutOff("/once/x",
              std::string("HTTP/1.1 503 Service Unavailable\r\n") +
                  kResponseFields + "Rosemarycove-Not-Executed: 1\r\n\r\n",
              "a", "HTTP/1.1 503 Service Unavailable");
}

TEST(EndlessResponses, ResponseToAnotherRequestIsCutOff) {
  CheckCutOff("/once/x",
              "HTTP/1.1 200 OK\r\nRosemarycove-Request-Id: other\r\n"
              "Rosemarycove-Server-Seal: seal\r\n\r\n",
              "a", kBadGateway);
}

TEST(EndlessResponses, EventIsCutOffAndTheStreamIsNotComplete) {
  EndlessEngine engine(std::string("HTTP/1.1 200 OK\r\n") + kResponseFields +
                           "Content-Type: text/event-stream\r\n\r\n"
                           "id: 1\ndata: a\n\nid: 2\ndata: ",
                       "b");
  const std::string response = engine.Send("/stream/x");
  CHECK(response.starts_with("HTTP/1.1 200 OK"));
  CHECK(response.find("data: a") != std::string::npos);
  CHECK(response.find("data: b") == std::string::npos);
  CHECK(!response.ends_with("0\r\n\r\n"));
  engine.AwaitEnd();
  CHECK_EQUAL(engine.responses(), engine.cut_off());
}

TEST(EndlessResponses, BodyStopsWhileTheCallerDoesNotReadIt) {
  EndlessEngine engine(
      std::string("HTTP/1.1 200 OK\r\n") + kResponseFields + "\r\n", "a");
  const auto caller = engine.Connect();
  caller->Send(PlatformFixture::Request("/once/x", "r1"));
  CHECK(caller->ReadUntil("\r\n").starts_with("HTTP/1.1 200 OK"));
  // The route's timeout ends the response.
  engine.AwaitEnd();
  CHECK_EQUAL(1, engine.cut_off());
}

TEST(EndlessResponses, ResponseToAnOwnRequestIsCutOff) {
  const RawServer server([](RawConnection& connection) {
    connection.ReadMessage();
    connection.Send("HTTP/1.1 200 OK\r\n\r\n");
    const std::string block(std::size_t{64} << 10U, 'a');
    std::size_t sent = 0;
    while (sent <= 2 * kMaxAcceptedBytes && connection.Send(block)) {
      sent += block.size();
    }
  });
  boost::asio::io_context io;
  HttpClient client(io, *ParseTcpEndpoint(server.address()));
  std::string error;
  client.Send("GET / HTTP/1.1\r\nHost: store\r\n\r\n", std::chrono::seconds(5),
              [&error](const auto& result) {
                error = result ? "" : result.error().message;
              });
  io.run();
  STRCMP_EQUAL("response is too large", error.c_str());
}

TEST(EndlessResponses, BytesAfterAResponseAreCutOff) {
  EndlessEngine engine(std::string("HTTP/1.1 200 OK\r\n") + kResponseFields +
                           "Content-Length: 2\r\n\r\nok",
                       "a");
  const std::string response = engine.Send("/once/x");
  CHECK(response.starts_with("HTTP/1.1 200 OK"));
  CHECK(response.ends_with("\r\n\r\nok"));
  engine.AwaitEnd();
  CHECK_EQUAL(engine.responses(), engine.cut_off());
}
