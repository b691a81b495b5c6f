// A real instance against stand-ins: good answers, bad input, bad engines.
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "tests/http_fixture.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

constexpr char kToken[] = "Bearer operators-token";

void CheckHas(const CallResult& result, const std::string& text) {
  if (!result.Has(text)) {
    FAIL(("expected \"" + text + "\" in \"" + result.body + "\"").c_str());
  }
}

}  // namespace

TEST_GROUP(Http) {
  std::unique_ptr<HttpFixture> fixture;

  void setup() override { this->fixture = std::make_unique<HttpFixture>(2); }

  // Every accepted request has ended, and the process still serves.
  void teardown() override {
    const CallResult after =
        this->fixture->Chat(HttpFixture::ChatBody(false, 3));
    LONGS_EQUAL(200, after.status);
    const std::uint64_t arrived = this->fixture->Counter("arrived");
    std::uint64_t ended = 0;
    for (const char* name :
         {"completed", "refused", "failed", "cancelled", "unknown"}) {
      ended += this->fixture->Counter(name);
    }
    LONGS_EQUAL(arrived, ended);
    this->fixture.reset();
  }
};

TEST(Http, WholeAnswer) {
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(false, 4));
  LONGS_EQUAL(200, result.status);
  CheckHas(result, "t0 t1 t2 t3");
  STRCMP_EQUAL("completed", result.Header("X-Outcome").c_str());
}

TEST(Http, StreamedAnswer) {
  const CallResult result = this->fixture->Chat(HttpFixture::ChatBody(true, 4));
  LONGS_EQUAL(200, result.status);
  CheckHas(result, "t3");
  CheckHas(result, "data: [DONE]\n\n");
}

TEST(Http, ModelsAreListed) {
  const CallResult result =
      this->fixture->Get(this->fixture->instance->caller_port(), "/v1/models",
                         {{"Authorization", "Bearer secret-of-alice"}});
  CheckHas(result, "\"id\":\"m\"");
}

TEST(Http, WrongKeyIsRefused) {
  const CallResult result = this->fixture->Post(
      "/v1/chat/completions", HttpFixture::ChatBody(false, 4),
      {{"Authorization", "Bearer wrong"}});
  LONGS_EQUAL(401, result.status);
  CheckHas(result, "wrong_key");
}

TEST(Http, MalformedJsonIsRefused) {
  LONGS_EQUAL(400, this->fixture->Chat("{\"model\":").status);
  LONGS_EQUAL(400, this->fixture->Chat("[]").status);
  LONGS_EQUAL(400, this->fixture->Chat("{\"model\":\"m\"}").status);
  LONGS_EQUAL(400, this->fixture
                       ->Chat("{\"model\":\"m\",\"messages\":[1],"
                              "\"max_tokens\":-4}")
                       .status);
}

TEST(Http, UnknownModelIsRefused) {
  const CallResult result = this->fixture->Chat(
      R"({"model":"none","messages":[{"role":"user","content":"x"}]})");
  LONGS_EQUAL(404, result.status);
  CheckHas(result, "\"ran\":\"no\"");
}

TEST(Http, ForeignClassIsRefused) {
  const CallResult result = this->fixture->Chat(HttpFixture::ChatBody(false, 4),
                                                {{"X-Request-Class", "none"}});
  LONGS_EQUAL(403, result.status);
}

TEST(Http, BodyOverTheLimitIsRefused) {
  const CallResult result = this->fixture->Chat(std::string(20000, 'x'));
  LONGS_EQUAL(413, result.status);
}

TEST(Http, HeaderFloodIsCutOff) {
  std::string flood = "POST /v1/chat/completions HTTP/1.1\r\n";
  for (int i = 0; i < 20000; ++i) {
    flood += "X-Header-" + std::to_string(i) + ": value\r\n";
  }
  const std::string answer = this->fixture->Raw(flood + "\r\n");
  CHECK(answer.find("200 OK") == std::string::npos);
}

TEST(Http, SlowWriterIsCutOff) {
  // The request never ends; the read timeout closes the connection.
  const std::string answer =
      this->fixture->Raw("POST /v1/chat/completions HTTP/1.1\r\nContent-Le");
  CHECK(answer.find("200 OK") == std::string::npos);
}

TEST(Http, GarbageIsRefused) {
  const std::string answer = this->fixture->Raw("\x01\x02\x03 no http\r\n\r\n");
  CHECK(answer.find("200 OK") == std::string::npos);
}

TEST(Http, HalfClosedCallerIsCancelled) {
  this->fixture->engines[0]->faults().Set("stall", 1);
  this->fixture->engines[1]->faults().Set("stall", 1);
  const std::string body = HttpFixture::ChatBody(true, 50);
  const std::string request =
      "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
      "secret-of-alice\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  const int fd = this->fixture->Connect();
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  shutdown(fd, SHUT_WR);
  CHECK(this->fixture->AwaitCounter("cancelled", 1));
  close(fd);
}

TEST(Http, SlowReaderIsCutOff) {
  for (const auto& engine : this->fixture->engines) {
    engine->faults().Set("token_bytes", 60000);
  }
  const std::string body = HttpFixture::ChatBody(true, 100000);
  const std::string request =
      "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
      "secret-of-alice\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  const int fd = this->fixture->Connect();
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  // Never reads: the stream ends by a limit once the buffers are full.
  CHECK(this->fixture->AwaitCounter("cancelled", 1));
  close(fd);
}

TEST(Http, TooManyConnectionsAreRefused) {
  std::vector<int> held;
  for (int i = 0; i < 40; ++i) {
    held.push_back(this->fixture->Connect());
  }
  const std::string answer =
      this->fixture->Raw("GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(answer.find("503") != std::string::npos);
  for (const int fd : held) {
    close(fd);
  }
  // Freed connections are served again.
  int status = 0;
  for (int i = 0; i < 100 && status != 200; ++i) {
    status =
        this->fixture->Get(this->fixture->instance->caller_port(), "/healthz")
            .status;
  }
  LONGS_EQUAL(200, status);
}

TEST(Http, CrashMidStreamEndsWithAnError) {
  this->fixture->engines[0]->faults().Set("crash", 1);
  this->fixture->engines[1]->faults().Set("crash", 1);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(true, 20));
  CheckHas(result, "answer_lost");
  CHECK(!result.Has("[DONE]"));
}

TEST(Http, CrashBeforeAWholeAnswerIsRetried) {
  this->fixture->engines[0]->faults().Set("crash", 1);
  const CallResult first = this->fixture->Chat(HttpFixture::ChatBody(false, 4));
  const CallResult second =
      this->fixture->Chat(HttpFixture::ChatBody(false, 4));
  LONGS_EQUAL(200, first.status);
  LONGS_EQUAL(200, second.status);
}

TEST(Http, StalledStreamEndsWithAnError) {
  this->fixture->engines[0]->faults().Set("stall", 1);
  this->fixture->engines[1]->faults().Set("stall", 1);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(true, 20));
  CheckHas(result, "answer_lost");
  CHECK(!result.Has("[DONE]"));
}

TEST(Http, MissingFinalEventIsNotWhole) {
  this->fixture->engines[0]->faults().Set("no_final", 1);
  this->fixture->engines[1]->faults().Set("no_final", 1);
  const CallResult result = this->fixture->Chat(HttpFixture::ChatBody(true, 5));
  CheckHas(result, "answer_lost");
  CHECK(!result.Has("[DONE]"));
}

TEST(Http, GarbageFromTheEngineIsNotPassedOn) {
  this->fixture->engines[0]->faults().Set("garbage", 1);
  this->fixture->engines[1]->faults().Set("garbage", 1);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(true, 20));
  CheckHas(result, "answer_malformed");
  CHECK(!result.Has("this is no event"));
}

TEST(Http, EndlessLineIsCutOff) {
  this->fixture->engines[0]->faults().Set("endless_line", 1);
  this->fixture->engines[1]->faults().Set("endless_line", 1);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(true, 20));
  CheckHas(result, "answer_malformed");
  CHECK(!result.Has("xxxx"));
}

TEST(Http, CrossedAnswerNeverReachesTheCaller) {
  this->fixture->engines[0]->faults().Set("wrong_id", 10);
  this->fixture->engines[1]->faults().Set("wrong_id", 10);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(false, 4));
  LONGS_EQUAL(502, result.status);
  CheckHas(result, "answer_crossed");
  CHECK(!result.Has("t0"));
  this->fixture->engines[0]->faults().Set("wrong_id", 0);
  this->fixture->engines[1]->faults().Set("wrong_id", 0);
}

TEST(Http, EngineErrorIsPassedOn) {
  this->fixture->engines[0]->faults().Set("error", 1);
  this->fixture->engines[1]->faults().Set("error", 1);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(false, 4));
  LONGS_EQUAL(500, result.status);
  CheckHas(result, "engine fault");
  STRCMP_EQUAL("failed", result.Header("X-Outcome").c_str());
  // Clears the other engine's switch, whichever it was.
  this->fixture->engines[0]->faults().Set("error", 0);
  this->fixture->engines[1]->faults().Set("error", 0);
}

TEST(Http, OrderRuns) {
  const CallResult result = this->fixture->Order("order-1");
  LONGS_EQUAL(200, result.status);
  LONGS_EQUAL(1, this->fixture->orders.Runs("order-1"));
}

TEST(Http, LostAnswerOfAnOrderIsUnknownAndNotRepeated) {
  this->fixture->orders.faults().Set("lose_answer", 1);
  const CallResult result = this->fixture->Order("order-2");
  LONGS_EQUAL(502, result.status);
  CheckHas(result, "\"ran\":\"unknown\"");
  LONGS_EQUAL(1, this->fixture->orders.Runs("order-2"));
}

TEST(Http, BusyOrderServiceIsTriedAgain) {
  this->fixture->orders.faults().Set("busy", 1);
  const CallResult result = this->fixture->Order("order-3");
  LONGS_EQUAL(200, result.status);
  LONGS_EQUAL(1, this->fixture->orders.Runs("order-3"));
}

TEST(Http, IdempotencyKeyRunsOnce) {
  const httplib::Headers key = {{"Idempotency-Key", "k1"}};
  LONGS_EQUAL(200, this->fixture->Order("order-4", key).status);
  LONGS_EQUAL(409, this->fixture->Order("order-4", key).status);
  LONGS_EQUAL(422, this->fixture->Order("order-5", key).status);
  LONGS_EQUAL(1, this->fixture->orders.Runs("order-4"));
  LONGS_EQUAL(0, this->fixture->orders.Runs("order-5"));
}

TEST(Http, OperatorsNeedTheirToken) {
  const int port = this->fixture->instance->operator_port();
  LONGS_EQUAL(401, this->fixture->Get(port, "/operator/v1/status").status);
  LONGS_EQUAL(401, this->fixture
                       ->Get(port, "/operator/v1/status",
                             {{"Authorization", "Bearer secret-of-alice"}})
                       .status);
  LONGS_EQUAL(
      200, this->fixture
               ->Get(port, "/operator/v1/status", {{"Authorization", kToken}})
               .status);
}

TEST(Http, ResourcesNeverShowKeys) {
  const CallResult result =
      this->fixture->Get(this->fixture->instance->operator_port(),
                         "/operator/v1/customer", {{"Authorization", kToken}});
  LONGS_EQUAL(200, result.status);
  CHECK(!result.Has("secret-of-alice"));
}

TEST(Http, MetricsCountOutcomes) {
  this->fixture->Chat(HttpFixture::ChatBody(true, 4));
  const CallResult result =
      this->fixture->Get(this->fixture->instance->operator_port(), "/metrics");
  CheckHas(result,
           "rosemarycove_requests_total{class=\"fast\",outcome=\"completed\","
           "cause=\"answered\"} 1");
  CheckHas(result, "rosemarycove_first_token_seconds_count{class=\"fast\"} 1");
}
