// Tests of an instance against stand-ins: valid requests, invalid input, faulty
// engines.
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "tests/http_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

constexpr char kToken[] = "Bearer operators-token";

void CheckContains(const CallResult& result, const std::string& text) {
  if (!result.Contains(text)) {
    FAIL(("expected \"" + text + "\" in \"" + result.body + "\"").c_str());
  }
}

}  // namespace

TEST_GROUP(Http) {
  std::unique_ptr<HttpFixture> fixture;

  void setup() override { this->fixture = std::make_unique<HttpFixture>(2); }

  // Checks that every accepted request has ended and that the process still
  // serves.
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

TEST(Http, UnstreamedResponse) {
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(false, 4));
  LONGS_EQUAL(200, result.status);
  CheckContains(result, "t0 t1 t2 t3");
  STRCMP_EQUAL("completed", result.Header("X-Outcome").c_str());
}

TEST(Http, StreamedResponse) {
  const CallResult result = this->fixture->Chat(HttpFixture::ChatBody(true, 4));
  LONGS_EQUAL(200, result.status);
  CheckContains(result, "t3");
  CheckContains(result, "data: [DONE]\n\n");
}

TEST(Http, ModelsAreListed) {
  const CallResult result =
      this->fixture->Get(this->fixture->instance->caller_port(), "/v1/models",
                         {{"Authorization", "Bearer secret-of-alice"}});
  CheckContains(result, "\"id\":\"m\"");
}

TEST(Http, WrongKeyIsRefused) {
  const CallResult result = this->fixture->Post(
      "/v1/chat/completions", HttpFixture::ChatBody(false, 4),
      {{"Authorization", "Bearer wrong"}});
  LONGS_EQUAL(401, result.status);
  CheckContains(result, "wrong_key");
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
  CheckContains(result, "\"ran\":\"no\"");
}

TEST(Http, ClassNotAllowedIsRefused) {
  const CallResult result = this->fixture->Chat(HttpFixture::ChatBody(false, 4),
                                                {{"X-Request-Class", "none"}});
  LONGS_EQUAL(403, result.status);
}

TEST(Http, BodyOverTheLimitIsRefused) {
  const CallResult result = this->fixture->Chat(std::string(20000, 'x'));
  LONGS_EQUAL(413, result.status);
}

TEST(Http, ExcessiveHeadersCloseTheConnection) {
  std::string flood = "POST /v1/chat/completions HTTP/1.1\r\n";
  for (int i = 0; i < 20000; ++i) {
    flood += "X-Header-" + std::to_string(i) + ": value\r\n";
  }
  const std::string response = this->fixture->SendRaw(flood + "\r\n");
  CHECK(response.find("200 OK") == std::string::npos);
}

TEST(Http, SlowSenderIsDisconnected) {
  // The request never ends; the read timeout closes the connection.
  const std::string response = this->fixture->SendRaw(
      "POST /v1/chat/completions HTTP/1.1\r\nContent-Le");
  CHECK(response.find("200 OK") == std::string::npos);
}

TEST(Http, InvalidHttpIsRefused) {
  const std::string response =
      this->fixture->SendRaw("\x01\x02\x03 no http\r\n\r\n");
  CHECK(response.find("200 OK") == std::string::npos);
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

TEST(Http, SlowReaderIsDisconnected) {
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
  // The test never reads, so the stream is cancelled once the buffers are full.
  CHECK(this->fixture->AwaitCounter("cancelled", 1));
  close(fd);
}

TEST(Http, TooManyConnectionsAreRefused) {
  std::vector<int> held;
  for (int i = 0; i < 40; ++i) {
    held.push_back(this->fixture->Connect());
  }
  const std::string response =
      this->fixture->SendRaw("GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(response.find("503") != std::string::npos);
  for (const int fd : held) {
    close(fd);
  }
  // New connections are served again after others were closed.
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
  CheckContains(result, "answer_lost");
  CHECK(!result.Contains("[DONE]"));
}

TEST(Http, CrashBeforeACompleteResponseIsRetried) {
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
  CheckContains(result, "answer_lost");
  CHECK(!result.Contains("[DONE]"));
}

TEST(Http, StreamWithoutFinalEventIsIncomplete) {
  this->fixture->engines[0]->faults().Set("no_final", 1);
  this->fixture->engines[1]->faults().Set("no_final", 1);
  const CallResult result = this->fixture->Chat(HttpFixture::ChatBody(true, 5));
  CheckContains(result, "answer_lost");
  CHECK(!result.Contains("[DONE]"));
}

TEST(Http, MalformedEventIsNotForwarded) {
  this->fixture->engines[0]->faults().Set("garbage", 1);
  this->fixture->engines[1]->faults().Set("garbage", 1);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(true, 20));
  CheckContains(result, "answer_malformed");
  CHECK(!result.Contains("this is no event"));
}

TEST(Http, EndlessLineIsMalformed) {
  this->fixture->engines[0]->faults().Set("endless_line", 1);
  this->fixture->engines[1]->faults().Set("endless_line", 1);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(true, 20));
  CheckContains(result, "answer_malformed");
  CHECK(!result.Contains("xxxx"));
}

TEST(Http, ResponseToAnotherRequestIsNotForwarded) {
  this->fixture->engines[0]->faults().Set("wrong_id", 10);
  this->fixture->engines[1]->faults().Set("wrong_id", 10);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(false, 4));
  LONGS_EQUAL(502, result.status);
  CheckContains(result, "answer_crossed");
  CHECK(!result.Contains("t0"));
  this->fixture->engines[0]->faults().Set("wrong_id", 0);
  this->fixture->engines[1]->faults().Set("wrong_id", 0);
}

TEST(Http, EngineErrorIsForwarded) {
  this->fixture->engines[0]->faults().Set("error", 1);
  this->fixture->engines[1]->faults().Set("error", 1);
  const CallResult result =
      this->fixture->Chat(HttpFixture::ChatBody(false, 4));
  LONGS_EQUAL(500, result.status);
  CheckContains(result, "engine fault");
  STRCMP_EQUAL("failed", result.Header("X-Outcome").c_str());
  // Only one engine used its fault; clear the other's.
  this->fixture->engines[0]->faults().Set("error", 0);
  this->fixture->engines[1]->faults().Set("error", 0);
}

TEST(Http, OrderRuns) {
  const CallResult result = this->fixture->PostOrder("order-1");
  LONGS_EQUAL(200, result.status);
  LONGS_EQUAL(1, this->fixture->orders.Runs("order-1"));
}

TEST(Http, LostResponseIsUnknownAndNotRetried) {
  this->fixture->orders.faults().Set("lose_answer", 1);
  const CallResult result = this->fixture->PostOrder("order-2");
  LONGS_EQUAL(502, result.status);
  CheckContains(result, "\"ran\":\"unknown\"");
  LONGS_EQUAL(1, this->fixture->orders.Runs("order-2"));
}

TEST(Http, BusyServiceIsRetried) {
  this->fixture->orders.faults().Set("busy", 1);
  const CallResult result = this->fixture->PostOrder("order-3");
  LONGS_EQUAL(200, result.status);
  LONGS_EQUAL(1, this->fixture->orders.Runs("order-3"));
}

TEST(Http, IdempotencyKeyRunsOnce) {
  const httplib::Headers key = {{"Idempotency-Key", "k1"}};
  LONGS_EQUAL(200, this->fixture->PostOrder("order-4", key).status);
  LONGS_EQUAL(409, this->fixture->PostOrder("order-4", key).status);
  LONGS_EQUAL(422, this->fixture->PostOrder("order-5", key).status);
  LONGS_EQUAL(1, this->fixture->orders.Runs("order-4"));
  LONGS_EQUAL(0, this->fixture->orders.Runs("order-5"));
}

TEST(Http, OperatorApiRequiresTheToken) {
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

TEST(Http, ResourcesDoNotContainKeys) {
  const CallResult result =
      this->fixture->Get(this->fixture->instance->operator_port(),
                         "/operator/v1/customer", {{"Authorization", kToken}});
  LONGS_EQUAL(200, result.status);
  CHECK(!result.Contains("secret-of-alice"));
}

TEST(Http, MetricsCountOutcomes) {
  this->fixture->Chat(HttpFixture::ChatBody(true, 4));
  const CallResult result =
      this->fixture->Get(this->fixture->instance->operator_port(), "/metrics");
  CheckContains(
      result,
      "rosemarycove_requests_total{class=\"fast\",outcome=\"completed\","
      "cause=\"answered\"} 1");
  CheckContains(result,
                "rosemarycove_first_token_seconds_count{class=\"fast\"} 1");
}
