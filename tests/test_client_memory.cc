// Tests of the memory that callers and servers can make a gateway hold. The
// gateway runs as a process with a low memory limit, beside a crowd of clients
// whose requests together exceed that limit.
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "tests/gateway_fixture.h"
#include "tests/limited_gateway.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

using std::chrono::milliseconds;

// `max_body_bytes` of the configuration.
constexpr std::size_t kMaxBodyBytes = LimitedGatewayOptions{}.max_body_bytes;
// Their bodies of legal size exceed the memory limit.
constexpr int kClients = CrowdPlan{}.clients;

std::string ChunkedBody(std::size_t bytes, std::size_t chunk_bytes) {
  const std::string chunk = Chunk(std::string(chunk_bytes, 'x'));
  std::string body;
  for (std::size_t at = 0; at < bytes; at += chunk_bytes) {
    body += chunk;
  }
  return body + "0\r\n\r\n";
}

constexpr char kChunkedField[] = "Transfer-Encoding: chunked\r\n";

}  // namespace

TEST_GROUP(ClientMemory){};

// Trailer fields after a chunked body were held without a limit.
TEST(ClientMemory, EndlessTrailers) {
  constexpr int kTrailerClients = 24;
  constexpr std::size_t kTrailerBytes = 4 * kMegabyte;
  std::string body = Chunk("x") + "0\r\n";
  while (body.size() < kTrailerBytes) {
    body += "X-Trailer: " + std::string(200, 't') + "\r\n";
  }
  LimitedGateway gateway(AnswerRequests);
  gateway.CheckSurvives(
      {.fields = kChunkedField, .body = body, .clients = kTrailerClients});
}

// Incomplete bodies were not counted, however many there were.
TEST(ClientMemory, LargeBodiesSentWhole) {
  LimitedGateway gateway(AnswerRequests);
  gateway.CheckSurvives({.fields = LengthField(kMaxBodyBytes),
                         .body = std::string(kMaxBodyBytes, 'x')});
}

TEST(ClientMemory, LargeBodiesSentPieceByPiece) {
  LimitedGateway gateway(AnswerRequests);
  gateway.CheckSurvives({.fields = LengthField(kMaxBodyBytes),
                         .body = std::string(kMaxBodyBytes, 'x'),
                         .piece_bytes = 4 * kKilobyte});
}

// The same where other instances relay requests.
TEST(ClientMemory, LargeBodiesThroughRelay) {
  LimitedGateway gateway(AnswerRequests);
  gateway.CheckSurvives({.fields = LengthField(kMaxBodyBytes),
                         .body = std::string(kMaxBodyBytes, 'x'),
                         .through_relay = true});
}

TEST(ClientMemory, LargeChunks) {
  LimitedGateway gateway(AnswerRequests);
  gateway.CheckSurvives({.fields = kChunkedField,
                         .body = ChunkedBody(kMaxBodyBytes, 32 * kKilobyte)});
}

TEST(ClientMemory, ChunksOfOneByte) {
  LimitedGateway gateway(AnswerRequests);
  gateway.CheckSurvives({.fields = kChunkedField,
                         .body = ChunkedBody(kMaxBodyBytes / 2, 1),
                         .clients = 2 * kClients});
}

// Each response may wait in the gateway until its caller reads.
TEST(ClientMemory, CallersThatDoNotRead) {
  constexpr std::size_t kResponseBytes = 16 * kMegabyte;
  LimitedGateway gateway([](RawConnection& connection) {
    const std::string block(256 * kKilobyte, 'x');
    while (const auto request = connection.ReadMessage()) {
      std::string response = EngineResponse(*request, "");
      const std::string length = "Content-Length: 0\r\n";
      response.replace(response.find(length), length.size(),
                       LengthField(kResponseBytes));
      bool is_open = connection.Send(response);
      for (std::size_t sent = 0; is_open && sent < kResponseBytes;
           sent += block.size()) {
        is_open = connection.Send(block);
      }
    }
  });
  gateway.CheckSurvives({.fields = LengthField(1),
                         .body = "x",
                         .clients = 2 * kClients,
                         .all_whole = true,
                         .slow_readers = true});
}

// A request was held twice: for another attempt, and as the bytes to be sent.
TEST(ClientMemory, ServersThatDoNotRead) {
  std::atomic<bool> has_ended = false;
  LimitedGateway gateway([&has_ended](RawConnection& connection) {
    connection.ReadBytes(1);
    while (!has_ended) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  });
  const FlagOnExit end(has_ended);
  gateway.CheckSurvives({.fields = LengthField(kMaxBodyBytes),
                         .body = std::string(kMaxBodyBytes, 'x'),
                         .all_whole = true});
}

namespace {

// As in the users' configurations.
constexpr std::size_t kMaxHeaderBytes = 16 * kKilobyte;
// The rest of a head without the fields of a crowd.
constexpr std::size_t kPlainHeadBytes = 400;

// Returns the text as often as it fits into the fields of a head.
std::string FillHead(const std::string& begin, const std::string& repeated,
                     const std::string& end) {
  std::string fields = begin;
  while (fields.size() + repeated.size() + end.size() <
         kMaxHeaderBytes - kPlainHeadBytes) {
    fields += repeated;
  }
  return fields + end;
}

}  // namespace

// Each field was held as two strings, twice, and heads were not counted.
TEST(ClientMemory, HeadsOfManyFields) {
  LimitedGateway gateway(AnswerRequests, {.max_header_bytes = kMaxHeaderBytes});
  gateway.CheckSurvives({.fields = FillHead(LengthField(10), "a:\r\n", ""),
                         .body = "0123456789",
                         .clients = 2 * kClients});
}

// The same for requests that a server works on.
TEST(ClientMemory, HeadsOfManyFieldsAtServers) {
  std::atomic<bool> has_ended = false;
  LimitedGateway gateway(AnswerWhen(has_ended),
                         {.max_header_bytes = kMaxHeaderBytes});
  const FlagOnExit end(has_ended);
  gateway.CheckSurvives({.fields = FillHead(LengthField(1), "a:\r\n", ""),
                         .body = "x",
                         .clients = 2 * kClients,
                         .all_whole = true});
}

// The parts of prompts are read into tables.
TEST(ClientMemory, PromptsOfManyParts) {
  std::atomic<bool> has_ended = false;
  LimitedGateway gateway(AnswerWhen(has_ended),
                         {.max_header_bytes = kMaxHeaderBytes});
  const FlagOnExit end(has_ended);
  gateway.CheckSurvives(
      {.fields = FillHead(LengthField(1) + "Rosemarycove-Prefix-Hash: ", "1,",
                          "1\r\n"),
       .body = "x",
       .clients = 2 * kClients,
       .all_whole = true});
}

// The responses to pipelined requests piled up.
TEST(ClientMemory, PipelinedRequestsOfCallersThatDoNotRead) {
  constexpr std::size_t kResponseBytes = 60 * kKilobyte;
  constexpr int kRequests = 200;
  LimitedGateway gateway([](RawConnection& connection) {
    const std::string body(kResponseBytes, 'x');
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, body));
    }
  });
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += fmt::format(
        "GET /upload/ HTTP/1.1\r\nHost: site.example\r\n"
        "Rosemarycove-Request-Id: pipelined-{}\r\n\r\n",
        i);
  }
  gateway.CheckSurvives({.fields = LengthField(0),
                         .body = requests,
                         .all_whole = true,
                         .slow_readers = true});
}

// Lines of the log that were not written yet had the whole ids of requests.
TEST(ClientMemory, LongIdsInUnreadLogs) {
  constexpr int kRequests = 10;
  // Bytes that are not UTF-8 take more space in the log.
  const std::string id(kMaxHeaderBytes - kPlainHeadBytes, '\xff');
  LimitedGateway gateway(AnswerRequests, {.max_header_bytes = kMaxHeaderBytes,
                                          .has_unread_log = true});
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += fmt::format(
        "GET /upload/ HTTP/1.1\r\nHost: site.example\r\n"
        "Rosemarycove-Request-Id: {}{}\r\n\r\n",
        i, id);
  }
  gateway.CheckSurvives(
      {.fields = LengthField(0), .body = requests, .all_whole = true});
}
