// Tests of responses that break off at each byte: within the head, the body, a
// chunk's size or a trailer.
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy/backend_connection.h"
#include "proxy/endpoint.h"
#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

constexpr char kRequest[] =
    "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n";
// Separates pieces, and the last byte from the end of the connection.
constexpr auto kPause = std::chrono::microseconds(300);

enum class CloseMode : std::uint8_t { kOrderly, kReset };

// What precedes the response that breaks off.
enum class Prelude : std::uint8_t { kNone, kInterim, kRequestBefore };

// A complete response and the body that it has.
struct Form {
  std::string name;
  std::string head;
  std::string body_bytes;
  std::string body;
  // The end of the connection marks the end of the body.
  bool ends_with_connection = false;

  [[nodiscard]] std::string Bytes() const {
    return this->head + this->body_bytes;
  }
};

std::vector<Form> Forms() {
  const std::string chunks = "7\r\nabcdefg\r\n10;x=1\r\n0123456789abcdef\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: b\r\n\r\n",
       "abcdefghijkl", "abcdefghijkl"},
      {"length last",
       "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 1234\r\n\r\n",
       std::string(1234, 'x'), std::string(1234, 'x')},
      {"chunks", "HTTP/1.1 200 OK\r\n" + chunked, chunks + "0\r\n\r\n",
       "abcdefg0123456789abcdef"},
      {"chunk size with zeros", "HTTP/1.1 200 OK\r\n" + chunked,
       "00a\r\n0123456789\r\n000\r\n\r\n", "0123456789"},
      {"trailers", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\n" + chunked,
       chunks + "0\r\nX-Sum: 12\r\nX-More: 0\r\n\r\n",
       "abcdefg0123456789abcdef"},
      {"until close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
       "abcdefghijkl", "abcdefghijkl", true},
      {"1.0 until close", "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n", "abcdefghijkl",
       "abcdefghijkl", true},
      {"1.0 with length", "HTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\n",
       "abcdefghijkl", "abcdefghijkl"},
      {"no content", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", "", ""},
      {"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", ""},
      {"error", "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\n", "oops",
       "oops"},
  };
}

// One response that breaks off.
struct Cut {
  Form form;
  std::size_t offset = 0;
  CloseMode close_mode = CloseMode::kOrderly;
  Prelude prelude = Prelude::kNone;
  // The bytes arrive in pieces of this size; 0: in one piece.
  std::size_t piece_bytes = 0;

  // Returns the body of the response if it is complete in spite of the cut.
  [[nodiscard]] std::optional<std::string> CompleteBody() const {
    const std::size_t head_bytes = this->form.head.size();
    if (this->form.ends_with_connection) {
      if (this->close_mode == CloseMode::kReset || this->offset < head_bytes) {
        return std::nullopt;
      }
      return this->form.body.substr(0, this->offset - head_bytes);
    }
    return this->offset == this->form.Bytes().size()
               ? std::optional(this->form.body)
               : std::nullopt;
  }
  [[nodiscard]] std::string Describe() const {
    return fmt::format(
        "{} at {}, {}, prelude {}, pieces of {}", this->form.name, this->offset,
        this->close_mode == CloseMode::kReset ? "reset" : "close",
        static_cast<int>(this->prelude), this->piece_bytes);
  }
};

void SendInPieces(RawConnection& connection, const std::string& bytes,
                  std::size_t piece_bytes) {
  if (piece_bytes == 0) {
    connection.Send(bytes);
    return;
  }
  for (std::size_t at = 0; at < bytes.size(); at += piece_bytes) {
    connection.Send(bytes.substr(at, piece_bytes));
    std::this_thread::sleep_for(kPause);
  }
}

void End(RawConnection& connection, CloseMode close_mode) {
  if (close_mode == CloseMode::kReset) {
    connection.Reset();
  } else {
    connection.Close();
  }
}

// Sends the response up to the cut and ends the connection.
void SendAndBreakOff(RawConnection& connection, const Cut& cut) {
  std::string bytes = cut.form.Bytes().substr(0, cut.offset);
  if (cut.prelude == Prelude::kInterim) {
    bytes.insert(0,
                 "HTTP/1.1 100 Continue\r\n\r\n"
                 "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
  }
  SendInPieces(connection, bytes, cut.piece_bytes);
  End(connection, cut.close_mode);
}

// Records the response to one request.
class ResponseRecorder : public ResponseListener {
 public:
  explicit ResponseRecorder(boost::asio::io_context& io) : io(io) {}

  void OnSendStarted() override {}
  HeadDecision OnHead(const ResponseHead& head) override {
    this->status = head.status;
    return HeadDecision::kAccept;
  }
  void OnBody(std::string bytes) override { this->body += bytes; }
  void OnComplete() override {
    this->is_complete = true;
    this->io.stop();
  }
  void OnFailed(FailureKind kind, const std::string& /*reason*/) override {
    this->failure = kind;
    this->io.stop();
  }

  int status = 0;
  std::string body;
  bool is_complete = false;
  std::optional<FailureKind> failure;

 private:
  boost::asio::io_context& io;
};

// Sends requests to a server and records the response to the last one.
class Client {
 public:
  explicit Client(const RawServer& server)
      : connection(std::make_shared<BackendConnection>(
            this->io, *ParseTcpEndpoint(server.address()))) {}
  ~Client() { this->connection->Abort(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  ResponseRecorder Send(const std::string& request) {
    ResponseRecorder recorder(this->io);
    this->io.restart();
    this->connection->Send(request, false, recorder);
    this->io.run();
    return recorder;
  }

 private:
  boost::asio::io_context io;
  std::shared_ptr<BackendConnection> connection;
};

// Checks what the client makes of the cut.
class CutChecker {
 public:
  CutChecker()
      : server([this](RawConnection& connection) { this->Serve(connection); }) {
  }

  // Returns what is wrong with the client's view of the cut; empty if nothing.
  std::string FindFault(const Cut& next) {
    {
      const std::lock_guard lock(this->mutex);
      this->cut = next;
    }
    Client client(this->server);
    if (next.prelude == Prelude::kRequestBefore &&
        !client.Send(kRequest).is_complete) {
      return next.Describe() + ": the request before failed";
    }
    const ResponseRecorder response = client.Send(kRequest);
    const std::optional<std::string> expected = next.CompleteBody();
    if (expected.has_value() != response.is_complete) {
      return next.Describe() +
             (response.is_complete ? ": is complete" : ": failed");
    }
    if (expected ? *expected != response.body
                 : response.failure == FailureKind::kNotSent ||
                       response.failure == FailureKind::kTimedOut) {
      return next.Describe() + ": wrong body or kind of failure";
    }
    return "";
  }

 private:
  void Serve(RawConnection& connection) {
    Cut current;
    {
      const std::lock_guard lock(this->mutex);
      current = this->cut;
    }
    if (current.prelude == Prelude::kRequestBefore) {
      if (!connection.ReadMessage()) {
        return;
      }
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    }
    if (connection.ReadMessage()) {
      SendAndBreakOff(connection, current);
    }
  }

  std::mutex mutex;
  Cut cut;
  RawServer server;
};

// A request whose body exceeds the buffers of a connection.
std::string LongRequest() {
  const std::string body(std::size_t{32} << 20U, 'x');
  return fmt::format(
             "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n",
             body.size()) +
         body;
}

constexpr int kGateways = 10;
// Stays below the slack of the retry budget.
constexpr int kRequestsPerGateway = 18;
constexpr int kServers = 24;
constexpr int kEvents = 3;

// The heads' parts that callers' requests need, for the request's id.
std::string AnswerStart(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nRosemarycove-Request-Id: " +
         HeaderValue(request, "Rosemarycove-Request-Id") +
         "\r\nRosemarycove-Server-Seal: seal\r\n";
}

// Returns the events behind the one with this id.
std::string EventsAfter(int last) {
  std::string events;
  for (int id = last + 1; id <= kEvents; ++id) {
    events += fmt::format("id: {}\ndata: event {}\n\n", id, id);
  }
  return events;
}

// Returns the complete response to a request of a route. Its framing varies
// with `variant`.
Form AnswerForm(const std::string& request, const std::string& path,
                int variant) {
  const std::string start = AnswerStart(request);
  if (path.starts_with("/stream/")) {
    const std::string last = HeaderValue(request, "Last-Event-Id");
    const std::string events = EventsAfter(last.empty() ? 0 : std::stoi(last));
    const std::string chunk = events.empty() ? "" : Chunk(events);
    return {"stream",
            start +
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
            chunk + "0\r\n\r\n", events};
  }
  const std::string body = "answer to " + path;
  switch (variant % 3) {
    case 0:
      return {"length",
              fmt::format("{}Content-Length: {}\r\n\r\n", start, body.size()),
              body, body};
    case 1:
      return {"chunks", start + "Transfer-Encoding: chunked\r\n\r\n",
              Chunk(body.substr(0, 5)) + Chunk(body.substr(5)) +
                  "0\r\nX-Sum: 1\r\n\r\n",
              body};
    default:
      return {"until close", start + "Connection: close\r\n\r\n", body, body,
              true};
  }
}

// A server that breaks off its first responses to each request.
class BreakingServer {
 public:
  explicit BreakingServer(int seed, int cut_count = 1)
      : cut_count(cut_count), random(seed) {}

  RawServer::Handler Handler() {
    return [this](RawConnection& connection) {
      while (const auto request = connection.ReadMessage()) {
        if (!this->Answer(*request, connection)) {
          return;
        }
      }
    };
  }
  // How the first response to the request with this path was cut, and how many
  // there were.
  std::pair<Cut, int> CutOf(const std::string& path) {
    const std::lock_guard lock(this->mutex);
    return {this->cuts[path], this->counts[path]};
  }

 private:
  // Returns false if the connection has ended.
  bool Answer(const std::string& request, RawConnection& connection) {
    const std::size_t start = request.find(' ') + 1;
    const std::string path =
        request.substr(start, request.find(' ', start) - start);
    Cut cut;
    {
      const std::lock_guard lock(this->mutex);
      const int variant = static_cast<int>(this->random() % 3);
      cut.form = AnswerForm(request, path, variant);
      if (++this->counts[path] > this->cut_count) {
        connection.Send(cut.form.Bytes());
        return !cut.form.ends_with_connection;
      }
      // Only a request with one cut may get a whole response.
      const std::size_t offsets =
          cut.form.Bytes().size() + (this->cut_count == 1 ? 1 : 0);
      cut.offset = this->random() % offsets;
      cut.close_mode =
          this->random() % 2 == 0 ? CloseMode::kOrderly : CloseMode::kReset;
      cut.prelude =
          this->random() % 3 == 0 ? Prelude::kInterim : Prelude::kNone;
      this->cuts[path] = cut;
    }
    SendAndBreakOff(connection, cut);
    return false;
  }

  int cut_count;
  std::mutex mutex;
  std::mt19937 random;
  std::map<std::string, Cut> cuts;
  std::map<std::string, int> counts;
};

// Returns the body of a caller's response; nullopt if it is incomplete.
std::optional<std::string> BodyOf(const std::string& response) {
  ResponseReader reader(false);
  std::string bytes = response;
  if (reader.Feed(bytes) != ResponseReader::Progress::kComplete) {
    return std::nullopt;
  }
  return reader.TakeBody();
}

// Returns what is wrong with the response to the request with this path; empty
// if nothing.
std::string FindFaultOfResponse(const std::string& response,
                                const std::string& path,
                                BreakingServer& server) {
  const auto [cut, count] = server.CutOf(path);
  const std::string name =
      fmt::format("{}, {}, sent {} times: {}", path, cut.Describe(), count,
                  response.substr(0, response.find("\r\n\r\n")));
  const std::optional<std::string> complete = cut.CompleteBody();
  if (!complete && path.starts_with("/once/")) {
    return count == 1 && response.starts_with("HTTP/1.1 502") ? "" : name;
  }
  const std::string expected = complete.value_or(
      path.starts_with("/stream/") ? EventsAfter(0) : "answer to " + path);
  return count == (complete ? 1 : 2) && response.starts_with("HTTP/1.1 200") &&
                 BodyOf(response) == expected
             ? ""
             : name;
}

}  // namespace

TEST_GROUP(BrokenHeads){};

// Guards against a response that breaks off at some byte being taken for a
// complete one, or its request for one that was not sent.
TEST(BrokenHeads, CutAtEachByteCompletesNoResponse) {
  for (const Form& form : Forms()) {
    CutChecker checker;
    const std::size_t size = form.Bytes().size();
    for (std::size_t offset = 0; offset <= size; ++offset) {
      // The inner bytes of a long body are alike.
      if (offset > form.head.size() + 20 && offset + 20 < size) {
        continue;
      }
      for (const CloseMode close_mode :
           {CloseMode::kOrderly, CloseMode::kReset}) {
        for (const Prelude prelude :
             {Prelude::kNone, Prelude::kInterim, Prelude::kRequestBefore}) {
          const std::string fault = checker.FindFault({.form = form,
                                                       .offset = offset,
                                                       .close_mode = close_mode,
                                                       .prelude = prelude});
          STRCMP_EQUAL("", fault.c_str());
        }
      }
    }
  }
}

// The same for bytes that are parsed in pieces, down to single bytes.
TEST(BrokenHeads, PiecesOfAResponseAreCompleteOnlyTogether) {
  for (const Form& form : Forms()) {
    const std::string bytes = form.Bytes();
    for (const std::size_t piece_bytes : {1, 2, 7}) {
      ResponseReader reader(false);
      std::string unparsed;
      std::string body;
      for (std::size_t at = 0; at < bytes.size(); at += piece_bytes) {
        const std::string name = fmt::format("{} at {}", form.name, at);
        unparsed += bytes.substr(at, piece_bytes);
        const bool is_complete =
            reader.Feed(unparsed) == ResponseReader::Progress::kComplete;
        const bool is_last = at + piece_bytes >= bytes.size();
        CHECK_EQUAL_TEXT(is_last && !form.ends_with_connection, is_complete,
                         name.c_str());
        CHECK_EQUAL_TEXT(at + piece_bytes >= form.head.size(),
                         reader.has_head(), name.c_str());
        if (reader.has_head()) {
          body += reader.TakeBody();
        }
      }
      if (form.ends_with_connection) {
        CHECK(reader.FeedEof() == ResponseReader::Progress::kComplete);
      }
      STRCMP_EQUAL(form.body.c_str(), body.c_str());
    }
  }
}

// The same for responses that a server sends in pieces.
TEST(BrokenHeads, CutOfAResponseInPiecesCompletesNoResponse) {
  ::setenv("RC_PARAMS", "seed=20261205 max_success=300", 1);
  CutChecker checker;
  const std::vector<Form> forms = Forms();
  CHECK(rc::check("a cut completes no response", [&] {
    const Form form = *rc::gen::elementOf(forms);
    const std::size_t size = form.Bytes().size();
    const std::size_t end = std::min(size, form.head.size() + 60);
    const auto close_mode =
        *rc::gen::element(CloseMode::kOrderly, CloseMode::kReset);
    // A reset drops pieces that wait for an acknowledgement, so the last bytes
    // of a complete response may not arrive.
    const std::size_t last = close_mode == CloseMode::kReset ? size - 1 : size;
    const std::string fault = checker.FindFault(
        {.form = form,
         .offset = *rc::gen::oneOf(
             rc::gen::inRange(std::size_t{0}, std::min(end, last) + 1),
             rc::gen::just(last)),
         .close_mode = close_mode,
         .prelude = *rc::gen::element(Prelude::kNone, Prelude::kInterim,
                                      Prelude::kRequestBefore),
         .piece_bytes = *rc::gen::element(std::size_t{1}, std::size_t{2},
                                          std::size_t{7}, std::size_t{40})});
    RC_LOG() << fault;
    RC_ASSERT(fault.empty());
  }));
}

// Guards against a body in an unknown coding, or without a clear end, being
// taken for the response's.
TEST(BrokenHeads, UnclearFramingIsMalformed) {
  for (const char* fields :
       {"Transfer-Encoding: chunke\r\n", "Transfer-Encoding: \r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: \r\n", "Content-Length: 4x\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 4\r\nContent-Length: 8\r\n"}) {
    ResponseReader reader(false);
    std::string bytes =
        fmt::format("HTTP/1.1 200 OK\r\n{}\r\n4\r\nabcd\r\n0\r\n\r\n", fields);
    CHECK_TEXT(reader.Feed(bytes) == ResponseReader::Progress::kMalformed,
               fields);
  }
}

// Guards against a head that breaks off and the answer after it being taken for
// one response.
TEST(BrokenHeads, HeadThatBreaksOffBeforeASecondAnswerCompletesNoResponse) {
  const std::string second =
      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
  for (const Form& form : Forms()) {
    for (std::size_t offset = 1; offset < form.head.size(); ++offset) {
      const RawServer server([&](RawConnection& connection) {
        if (connection.ReadMessage()) {
          connection.Send(form.head.substr(0, offset) + second);
          connection.Close();
        }
      });
      const ResponseRecorder response = Client(server).Send(kRequest);
      const std::string name = fmt::format("{} at {}", form.name, offset);
      CHECK_TEXT(!response.is_complete, name.c_str());
      CHECK_TEXT(response.failure != FailureKind::kNotSent, name.c_str());
    }
  }
}

// Guards against a response that its server resets being taken for complete
// when the request is still being sent: the failed write takes the error from
// the socket, and the next read reports an end in order.
TEST(BrokenHeads, ResetWhileTheRequestIsSentCompletesNoResponse) {
  for (const std::string& part : {std::string(), std::string("part")}) {
    const RawServer server([&](RawConnection& connection) {
      connection.ReadUntil("\r\n\r\n");
      connection.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      connection.Reset();
    });
    const ResponseRecorder response = Client(server).Send(LongRequest());
    CHECK_EQUAL(200, response.status);
    CHECK(!response.is_complete);
    CHECK(response.failure == FailureKind::kDuringResponse);
  }
}

TEST(BrokenHeads, OrderlyEndWhileTheRequestIsSentCompletesTheResponse) {
  const RawServer server([&](RawConnection& connection) {
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
    connection.Shutdown();
    // The unread bytes turn the close into a reset.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    connection.Close();
  });
  const ResponseRecorder response = Client(server).Send(LongRequest());
  CHECK(response.is_complete);
  STRCMP_EQUAL("whole", response.body.c_str());
}

// Guards against callers that get a part of a response as a whole one, or whose
// request isn't tried again although its route allows it.
TEST(BrokenHeads, CallersGetTheWholeResponseOrTheTruth) {
  for (int seed = 1; seed <= kGateways; ++seed) {
    BreakingServer server(seed);
    PlatformFixture platform(server.Handler());
    for (int i = 2; i <= kServers; ++i) {
      for (const char* service : {"model", "orders", "stock"}) {
        platform.AddServer(fmt::format("{}-{}", service, i), service,
                           platform.engine.address());
      }
    }
    const RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    for (int i = 0; i < kRequestsPerGateway; ++i) {
      const char* route = std::array{"once", "again", "stream"}.at(i % 3);
      const std::string path = fmt::format("/{}/{}-{}", route, seed, i);
      const auto caller = gateway.Connect();
      caller->Send(PlatformFixture::Request(path, fmt::format("r{}", i),
                                            "Connection: close\r\n", path));
      const std::string fault =
          FindFaultOfResponse(caller->ReadToEnd(), path, server);
      STRCMP_EQUAL("", fault.c_str());
    }
  }
}

// Guards against a stream that looks whole, or has an event twice, after both
// the stream and what should go on with it broke off.
TEST(BrokenHeads, StreamThatBreaksOffTwiceDoesNotLookComplete) {
  for (int seed = 1; seed <= kGateways; ++seed) {
    BreakingServer server(seed, 2);
    PlatformFixture platform(server.Handler());
    for (int i = 2; i <= kServers; ++i) {
      platform.AddServer(fmt::format("model-{}", i), "model",
                         platform.engine.address());
    }
    const RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    for (int i = 0; i < kRequestsPerGateway; ++i) {
      const std::string path = fmt::format("/stream/{}-{}", seed, i);
      const auto caller = gateway.Connect();
      caller->Send(PlatformFixture::Request(path, fmt::format("r{}", i),
                                            "Connection: close\r\n", path));
      std::string response = caller->ReadToEnd();
      const std::string name = server.CutOf(path).first.Describe();
      CHECK_EQUAL_TEXT(2, server.CutOf(path).second, name.c_str());
      if (response.starts_with("HTTP/1.1 502")) {
        continue;
      }
      CHECK_TEXT(response.starts_with("HTTP/1.1 200"), name.c_str());
      ResponseReader reader(false);
      CHECK_TEXT(reader.Feed(response) == ResponseReader::Progress::kNeedMore &&
                     reader.FeedEof() == ResponseReader::Progress::kMalformed,
                 name.c_str());
      CHECK_TEXT(EventsAfter(0).starts_with(reader.TakeBody()), name.c_str());
    }
  }
}

// Guards against chunk headers within the body that a caller of HTTP/1.0 gets,
// and against a part of it that looks whole.
TEST(BrokenHeads, CallersOfHttp10GetLongBodiesWithoutChunks) {
  const std::string body(std::size_t{200} << 10U, 'x');
  for (const bool is_whole : {true, false}) {
    PlatformFixture platform([&](RawConnection& connection) {
      if (const auto request = connection.ReadMessage()) {
        connection.Send(AnswerStart(*request) +
                        "Transfer-Encoding: chunked\r\n\r\n" + Chunk(body) +
                        (is_whole ? "0\r\n\r\n" : ""));
        connection.Close();
      }
    });
    const RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    const auto caller = gateway.Connect();
    std::string request = PlatformFixture::Request("/once/x", "r1");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    caller->Send(request);
    bool is_reset = false;
    const std::string response = caller->ReadToEnd(&is_reset);
    CHECK(response.starts_with("HTTP/1.1 200"));
    STRCMP_EQUAL("", HeaderValue(response, "Transfer-Encoding").c_str());
    CHECK_EQUAL(!is_whole, is_reset);
    if (is_whole) {
      CHECK(response.substr(response.find("\r\n\r\n") + 4) == body);
    }
  }
}
