// Tests of bytes on a caller's connection that belong to no request.
#include <fmt/format.h>

#include <mutex>
#include <vector>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// A gateway with a server that records the requests it gets.
class ExtraBytesFixture {
 public:
  ExtraBytesFixture()
      : platform([this](RawConnection& connection) {
          while (const auto request = connection.ReadMessage()) {
            {
              const std::lock_guard lock(this->mutex);
              this->requests.push_back(*request);
            }
            connection.Send(EngineResponse(*request, "own"));
          }
        }),
        gateway("a", platform.store.address()) {
    this->gateway.AwaitReady();
  }

  // Sends the bytes on a new connection. Returns all that is received until the
  // gateway closes it.
  std::string SendAndReadToEnd(const std::string& bytes) {
    const auto caller = this->gateway.Connect();
    caller->Send(bytes);
    return caller->ReadToEnd();
  }
  std::vector<std::string> Requests() {
    const std::lock_guard lock(this->mutex);
    return this->requests;
  }

  std::mutex mutex;
  std::vector<std::string> requests;
  PlatformFixture platform;
  RunningGateway gateway;
};

const std::string kFirst = PlatformFixture::Request("/once/1", "r1", "", "abc");
const std::string kSecond = PlatformFixture::Request("/once/2", "r2");

int CountAnswers(const std::string& bytes) {
  int count = 0;
  for (std::size_t at = bytes.find("HTTP/1.1 "); at != std::string::npos;
       at = bytes.find("HTTP/1.1 ", at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_GROUP(ExtraBytes){};

// Guards against the rest of a body that is longer than stated becoming part of
// the next request or getting an answer, which the caller would take for that
// of its next request.
TEST(ExtraBytes, RestOfALongerBodyEndsTheConnectionWithoutAnAnswer) {
  for (const std::string rest : {"def", "{\"a\":1}", "\x01", "POS\r\n"}) {
    for (const std::string& next : {std::string(), kSecond}) {
      ExtraBytesFixture fixture;
      const std::string answers =
          fixture.SendAndReadToEnd(fmt::format("{}{}{}", kFirst, rest, next));
      CHECK_EQUAL(1, CountAnswers(answers));
      CHECK(answers.ends_with("\r\n\r\nown"));
      CHECK_EQUAL(1U, fixture.Requests().size());
      CHECK(fixture.Requests().at(0).ends_with("\r\n\r\nabc"));
    }
  }
}

TEST(ExtraBytes, BytesOnAnIdleConnectionEndItWithoutAnAnswer) {
  ExtraBytesFixture fixture;
  const auto caller = fixture.gateway.Connect();
  caller->Send(kFirst);
  CHECK(caller->ReadMessage().value_or("").ends_with("\r\n\r\nown"));
  caller->Send("G");
  caller->Send("def");
  STRCMP_EQUAL("", caller->ReadToEnd().c_str());
}

// Guards against a line end after a body, which some callers send, being taken
// for the start of the next request, which was then refused.
TEST(ExtraBytes, EmptyLinesBetweenRequestsAreIgnored) {
  for (const std::string lines : {"\r\n", "\r\n\r\n", "\n"}) {
    ExtraBytesFixture fixture;
    const auto caller = fixture.gateway.Connect();
    caller->Send(fmt::format("{0}{1}{0}", lines, kFirst));
    CHECK(caller->ReadMessage().value_or("").ends_with("\r\n\r\nown"));
    caller->Send(kSecond);
    CHECK(caller->ReadMessage().value_or("").ends_with("\r\n\r\nown"));
    CHECK_EQUAL(2U, fixture.Requests().size());
    CHECK(fixture.Requests().at(0).starts_with("POST /once/1 "));
    CHECK(fixture.Requests().at(1).starts_with("POST /once/2 "));
  }
}

TEST(ExtraBytes, PipelinedRequestsAreAnsweredInOrder) {
  ExtraBytesFixture fixture;
  const auto caller = fixture.gateway.Connect();
  caller->Send(kFirst + kSecond);
  for (const char* id : {"r1", "r2"}) {
    STRCMP_EQUAL(id, HeaderValue(caller->ReadMessage().value_or(""),
                                 "Rosemarycove-Request-Id")
                         .c_str());
  }
}

TEST(ExtraBytes, SecondRequestMayArriveByteByByte) {
  ExtraBytesFixture fixture;
  const auto caller = fixture.gateway.Connect();
  caller->Send(kFirst);
  CHECK(caller->ReadMessage().value_or("").ends_with("\r\n\r\nown"));
  for (const char byte : kSecond) {
    caller->Send(std::string(1, byte));
  }
  CHECK(caller->ReadMessage().value_or("").ends_with("\r\n\r\nown"));
}
