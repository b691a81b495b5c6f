// Tests of responses that must not reach the caller: those that break off while
// their request is still being sent, and those without a valid final status.
#include <fmt/format.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

using std::chrono::milliseconds;

// The time limit of the routes. An outcome that comes before half of it has not
// waited for it.
constexpr milliseconds kTimeLimit{6000};
// The server's window and the buffers of the sockets take less.
constexpr std::size_t kUploadBytes = std::size_t{2} << 20U;

constexpr char kConfiguration[] =
    R"({{"version":2,"routes":[)"
    R"({{"name":"stream","hostname":"site.example","path_prefix":"/stream/",)"
    R"("type":"streaming","timeout_ms":{0},"slo_ms":{0},"priority":1,)"
    R"("service":"model","attempts":1,"public":false}},)"
    R"({{"name":"once","hostname":"site.example","path_prefix":"/once/",)"
    R"("type":"unsafe","timeout_ms":{0},"slo_ms":{0},"priority":2,)"
    R"("service":"orders","attempts":1,"public":false}},)"
    R"({{"name":"again","hostname":"site.example","path_prefix":"/again/",)"
    R"("type":"safe","timeout_ms":{0},"slo_ms":{0},"priority":2,)"
    R"("service":"stock","attempts":1,"public":false}}],"services":[)"
    R"({{"name":"model","max_conns":64,"engine":{{"slots":8,)"
    R"("kv_tokens":100000,"stride":4}}}},{{"name":"orders","max_conns":64}},)"
    R"({{"name":"stock","max_conns":64}}],)"
    R"("limits":{{"max_header_bytes":4096,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}},)"
    R"("tenants":[{{"name":"customer-1","api_keys":["key-1"]}}]}})";

// A gateway whose servers have this handler. If `relayed`, it can't reach them
// and relays its requests to another one.
class Gateways {
 public:
  Gateways(RawServer::Handler handler, bool relayed)
      : platform(std::move(handler)) {
    this->platform.store.Put("op/config",
                             fmt::format(kConfiguration, kTimeLimit.count()));
    this->sound = std::make_unique<RunningGateway>(
        "sound", this->platform.store.address());
    this->sound->AwaitReady();
    if (!relayed) {
      return;
    }
    const std::string refused = RawServer([](RawConnection&) {}).address();
    this->cut = std::make_unique<RunningGateway>(
        "cut", this->platform.store.address(),
        std::vector<std::string>{this->sound->peers_address()},
        std::chrono::seconds(8),
        [refused](const std::string&) { return refused; });
    this->cut->AwaitReady();
    CHECK(this->cut->AwaitMetric("rosemarycove_relay_peers", 1));
  }

  // Sends the request and returns all that comes until the connection ends.
  // Checks that this does not take until the time limit.
  std::string Exchange(const std::string& path, const std::string& body) {
    const auto caller = (this->cut ? this->cut : this->sound)->Connect();
    const auto begin = std::chrono::steady_clock::now();
    caller->Send(
        PlatformFixture::Request(path, "r1", "Connection: close\r\n", body));
    std::string response = caller->ReadToEnd();
    CHECK(std::chrono::steady_clock::now() - begin < kTimeLimit / 2);
    return response;
  }

 private:
  PlatformFixture platform;
  std::unique_ptr<RunningGateway> sound;
  std::unique_ptr<RunningGateway> cut;
};

std::string StatusLine(const std::string& response) {
  return response.substr(0, response.find("\r\n"));
}

// Returns the fields of a response to the request that its server made.
std::string OwnFields(const std::string& request) {
  return fmt::format(
      "Rosemarycove-Request-Id: {}\r\nRosemarycove-Server-Seal: seal\r\n",
      HeaderValue(request, "Rosemarycove-Request-Id"));
}

// Answers before the request is read, sends a part of a body without a length
// and resets the connection.
RawServer::Handler ResetAfter(const std::string& content_type,
                              const std::string& part) {
  return [content_type, part](RawConnection& connection) {
    const std::string head = connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\n" + OwnFields(head) + content_type +
                    "\r\n" + part);
    std::this_thread::sleep_for(milliseconds(200));
    connection.Reset();
  };
}

// Checks that the caller gets a 502, or the part of a chunked response.
void CheckBrokenOff(const std::string& path, const RawServer::Handler& handler,
                    bool relayed) {
  Gateways gateways(handler, relayed);
  const std::string response =
      gateways.Exchange(path, std::string(kUploadBytes, 'x'));
  const bool is_refused = response.starts_with("HTTP/1.1 502 ");
  const bool is_part = response.starts_with("HTTP/1.1 200 ") &&
                       response.find("chunked") != std::string::npos &&
                       !response.ends_with("0\r\n\r\n");
  CHECK_TEXT(is_refused || is_part, StatusLine(response).c_str());
}

const std::string kShortPart = "the first part";
// More than is held until the response is complete.
const std::string kLongPart(std::size_t{200} << 10U, 'p');
const std::string kEventPart = "id: 1\ndata: a\n\n";
const std::string kStreamType = "Content-Type: text/event-stream\r\n";

// Checks that responses with these statuses get a 502 and are not forwarded.
void CheckInvalidStatus(const std::string& path, bool relayed) {
  for (const char* status : {"000", "099", "600", "999"}) {
    Gateways gateways(
        [status](RawConnection& connection) {
          while (const auto request = connection.ReadMessage()) {
            connection.Send(fmt::format(
                "HTTP/1.1 {} Odd\r\n{}Content-Length: 4\r\n\r\nbody", status,
                OwnFields(*request)));
          }
        },
        relayed);
    const std::string response = gateways.Exchange(path, "x");
    STRCMP_EQUAL("HTTP/1.1 502 Bad Gateway", StatusLine(response).c_str());
  }
}

}  // namespace

// A response whose server resets the connection while the request is being sent
// is neither complete nor held until the time limit.
TEST_GROUP(ResetDuringUpload){};

TEST(ResetDuringUpload, PlainOnce) {
  CheckBrokenOff("/once/", ResetAfter("", kShortPart), false);
}
TEST(ResetDuringUpload, PlainAgain) {
  CheckBrokenOff("/again/", ResetAfter("", kShortPart), false);
}
TEST(ResetDuringUpload, PlainForwardedInPart) {
  CheckBrokenOff("/once/", ResetAfter("", kLongPart), false);
}
TEST(ResetDuringUpload, Stream) {
  CheckBrokenOff("/stream/", ResetAfter(kStreamType, kEventPart), false);
}
TEST(ResetDuringUpload, RelayedPlain) {
  CheckBrokenOff("/once/", ResetAfter("", kShortPart), true);
}
TEST(ResetDuringUpload, RelayedForwardedInPart) {
  CheckBrokenOff("/once/", ResetAfter("", kLongPart), true);
}
TEST(ResetDuringUpload, RelayedStream) {
  CheckBrokenOff("/stream/", ResetAfter(kStreamType, kEventPart), true);
}

// A status that is none of a final response is not awaited as an interim one,
// and doesn't reach the caller.
TEST_GROUP(InvalidStatus){};

TEST(InvalidStatus, PlainStatusOnce) { CheckInvalidStatus("/once/", false); }
TEST(InvalidStatus, PlainStatusAgain) { CheckInvalidStatus("/again/", false); }
TEST(InvalidStatus, StreamStatus) { CheckInvalidStatus("/stream/", false); }
TEST(InvalidStatus, RelayedPlainStatus) { CheckInvalidStatus("/once/", true); }
TEST(InvalidStatus, RelayedStreamStatus) {
  CheckInvalidStatus("/stream/", true);
}
