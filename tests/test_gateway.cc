// Tests of the data path over sockets, against stand-ins for the platform.
#include <atomic>
#include <mutex>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// Collects the requests that engines received. Thread-safe.
class RequestLog {
 public:
  void Add(const std::string& request) {
    const std::lock_guard lock(this->mutex);
    this->all.push_back(request);
  }
  std::vector<std::string> Get() {
    const std::lock_guard lock(this->mutex);
    return this->all;
  }

 private:
  std::mutex mutex;
  std::vector<std::string> all;
};

// Returns a handler that logs each request and responds with this body.
RawServer::Handler RespondWith(RequestLog& requests, const std::string& body) {
  return [&requests, body](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      requests.Add(*request);
      connection.Send(EngineResponse(*request, body));
    }
  };
}

std::string StatusLine(const std::string& response) {
  return response.substr(0, response.find("\r\n"));
}

}  // namespace

TEST_GROUP(Gateway){};

TEST(Gateway, ForwardsUnchangedAndSetsItsOwnFields) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "engine bytes"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const std::string response = gateway.SendRequest(PlatformFixture::Request(
      "/once/x?q=%20a&b", "r1",
      "X-Own: kept\r\nConnection: X-Hop, Rosemarycove-Model\r\nX-Hop: 1\r\n"
      "Rosemarycove-Model: m\r\nRosemarycove-Tenant: forged\r\n"
      "Rosemarycove-Kv-Hold: forged\r\nKv-From: forged\r\n",
      "body"));
  STRCMP_EQUAL("HTTP/1.1 200 OK", StatusLine(response).c_str());
  STRCMP_EQUAL("seal",
               HeaderValue(response, "Rosemarycove-Server-Seal").c_str());
  CHECK(response.ends_with("\r\n\r\nengine bytes"));
  const std::string forwarded = requests.Get().at(0);
  STRCMP_EQUAL("POST /once/x?q=%20a&b HTTP/1.1", StatusLine(forwarded).c_str());
  CHECK(forwarded.ends_with("\r\n\r\nbody"));
  STRCMP_EQUAL("r1", HeaderValue(forwarded, "Rosemarycove-Request-Id").c_str());
  STRCMP_EQUAL("kept", HeaderValue(forwarded, "X-Own").c_str());
  STRCMP_EQUAL("m", HeaderValue(forwarded, "Rosemarycove-Model").c_str());
  STRCMP_EQUAL("customer-1",
               HeaderValue(forwarded, "Rosemarycove-Tenant").c_str());
  STRCMP_EQUAL("orders-1",
               HeaderValue(forwarded, "Rosemarycove-Expect-Instance").c_str());
  CHECK(HeaderValue(forwarded, "X-Hop").empty());
  CHECK(HeaderValue(forwarded, "Authorization").empty());
  CHECK(HeaderValue(forwarded, "Rosemarycove-Kv-Hold").empty());
  CHECK(HeaderValue(forwarded, "Kv-From").empty());
  CHECK(std::stoi(HeaderValue(forwarded, "Rosemarycove-Deadline-Ms")) <= 2000);
}

TEST(Gateway, RejectsUnknownRoutesAndKeys) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(PlatformFixture::Request("/none/x", "r1"))
            .starts_with("HTTP/1.1 404"));
  CHECK(gateway
            .SendRequest(
                "POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
                "Authorization: Token other\r\nContent-Length: 0\r\n\r\n")
            .starts_with("HTTP/1.1 401"));
  CHECK(requests.Get().empty());
}

TEST(Gateway, IsNotReadyAndRejectsAsNotRunWithoutConfiguration) {
  const StoreStandin store;
  const RunningGateway gateway("a", store.address());
  CHECK(!gateway.IsReady());
  const std::string response =
      gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"));
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(!HeaderValue(response, "Retry-After").empty());
}

TEST(Gateway, StatusServerServesMetrics) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 200"));
  const std::string metrics = gateway.GetStatusPage("/metrics");
  CHECK(metrics.starts_with("HTTP/1.1 200"));
  CHECK(metrics.find("rosemarycove_requests_total{class=\"once\"") !=
        std::string::npos);
  CHECK(metrics.find("rosemarycove_whole_seconds") != std::string::npos);
}

TEST(Gateway, RejectsRevokedKeysOnceTheConfigurationIsInForce) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  platform.PutConfiguration(2, true);
  CHECK(gateway.SendRequestUntil(PlatformFixture::Request("/once/x", "r1"),
                                 "HTTP/1.1 401"));
  // An older version is not adopted even if it is written later.
  platform.PutConfiguration(1);
  platform.store.Put("op/config", "not a configuration");
  platform.PutConfiguration(3, true);
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r2"))
            .starts_with("HTTP/1.1 401"));
}

TEST(Gateway, RejectsAmbiguousFramingAndClosesTheConnection) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const std::string head =
      "POST /again/x HTTP/1.1\r\nHost: site.example\r\n"
      "Authorization: Token key-1\r\nRosemarycove-Request-Id: r1\r\n";
  for (const std::string& request :
       {head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        head +
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: xchunked\r\n\r\nabc",
        head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        head + "X-A: 1\r\n folded\r\nContent-Length: 0\r\n\r\n",
        head + "X-A: 1\nX-B: 2\r\nContent-Length: 0\r\n\r\n",
        head + "X-A : 1\r\nContent-Length: 0\r\n\r\n",
        head + "Rosemarycove-Request-Id: r2\r\nContent-Length: 0\r\n\r\n",
        std::string("POST /again/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n")}) {
    const auto caller = gateway.Connect();
    caller->Send(request);
    CHECK(caller->ReadMessage().value_or("").starts_with("HTTP/1.1 400"));
  }
  CHECK(requests.Get().empty());
}

TEST(Gateway, LimitsTheSizeOfHeadsAndBodies) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway
            .SendRequest(PlatformFixture::Request(
                "/once/x", "r1", "X-A: " + std::string(5000, 'a') + "\r\n"))
            .starts_with("HTTP/1.1 431"));
  CHECK(gateway
            .SendRequest(PlatformFixture::Request("/once/x", "r1", "",
                                                  std::string(70000, 'a')))
            .starts_with("HTTP/1.1 413"));
  CHECK(requests.Get().empty());
}

TEST(Gateway, ForwardsChunkedBodiesCompletely) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const std::string response = gateway.SendRequest(
      "POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
      "Authorization: Token key-1\r\nRosemarycove-Request-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(requests.Get().at(0).ends_with("\r\n\r\nabcde"));
}

TEST(Gateway, TruncatedResponseNeverLooksComplete) {
  PlatformFixture platform([](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    const std::string whole =
        EngineResponse(*request, std::string(100000, 'x'));
    connection.Send(whole.substr(0, 90000));
    connection.Reset();
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Connect();
  caller->Send(PlatformFixture::Request("/once/x", "r1"));
  CHECK(!caller->ReadMessage().has_value());
}

TEST(Gateway, DoesNotRetryOrRejectAsNotRunAfterAPossibleRun) {
  RequestLog requests;
  PlatformFixture platform([&](RawConnection& connection) {
    if (const auto request = connection.ReadMessage()) {
      requests.Add(*request);
      connection.Reset();
    }
  });
  platform.AddServer("orders-2", "orders", platform.engine.address());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 502"));
  CHECK_EQUAL(1U, requests.Get().size());
}

TEST(Gateway, RetriesRepeatableRequestsWithinTheRoutesAttempts) {
  RequestLog requests;
  PlatformFixture platform([&](RawConnection& connection) {
    if (const auto request = connection.ReadMessage()) {
      requests.Add(*request);
      connection.Reset();
    }
  });
  RequestLog second;
  const RawServer healthy(RespondWith(second, "healthy"));
  platform.AddServer("stock-2", "stock", healthy.address());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  for (int i = 0; i < 4; ++i) {
    CHECK(gateway
              .SendRequest(
                  PlatformFixture::Request("/again/x", "r" + std::to_string(i)))
              .ends_with("healthy"));
  }
}

TEST(Gateway, RejectsAsNotRunIfTheServerDidNotRunIt) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "", "503 Full",
                                     "Rosemarycove-Not-Executed: 1\r\n"));
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const std::string response =
      gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"));
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(!HeaderValue(response, "Retry-After").empty());
}

TEST(Gateway, DoesNotForwardAStatusThatWronglyImpliesNotRun) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "", "503 Ran"));
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 502"));
}

TEST(Gateway, SkipsAResponseToAnotherRequestAndClosesTheConnection) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      const std::string stray =
          "HTTP/1.1 200 OK\r\nRosemarycove-Request-Id: another\r\n"
          "Rosemarycove-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nstray";
      connection.Send(stray + EngineResponse(*request, "own"));
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
            .ends_with("\r\n\r\nown"));
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r2"))
            .ends_with("\r\n\r\nown"));
  CHECK_EQUAL(2, platform.engine.connection_count());
}

TEST(Gateway, BytesAfterAResponseCloseTheConnection) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "own") + "HTTP/1.1 200 OK\r\n");
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  for (const char* id : {"r1", "r2"}) {
    CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", id))
              .ends_with("\r\n\r\nown"));
  }
  CHECK_EQUAL(2, platform.engine.connection_count());
}

TEST(Gateway, ForwardsAnEarlyResponseAndClosesTheServersConnection) {
  std::atomic<int> served = 0;
  PlatformFixture platform([&](RawConnection& connection) {
    const std::string head = connection.ReadUntil("\r\n\r\n");
    ++served;
    connection.Send(EngineResponse(head, "early", "413 Long"));
    connection.ReadToEnd();
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const std::string body(60000, 'b');
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1", "", body))
            .starts_with("HTTP/1.1 413"));
  CHECK_EQUAL(1, served.load());
}

TEST(Gateway, ResponseWithoutLengthIsCompleteOnlyAfterAnOrderlyClose) {
  std::atomic<bool> clean = true;
  PlatformFixture platform([&](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    connection.Send("HTTP/1.1 200 OK\r\nRosemarycove-Request-Id: " +
                    HeaderValue(*request, "Rosemarycove-Request-Id") +
                    "\r\nRosemarycove-Server-Seal: seal\r\n\r\nwhole");
    if (clean) {
      connection.Close();
    } else {
      connection.Reset();
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
            .ends_with("\r\n\r\nwhole"));
  clean = false;
  CHECK(!gateway.SendRequest(PlatformFixture::Request("/once/x", "r2"))
             .starts_with("HTTP/1.1 200"));
}

TEST(Gateway, ForwardsEventsAndResumesABrokenStreamAtAnotherServer) {
  std::atomic<int> calls = 0;
  RequestLog requests;
  const auto handler = [&](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    if (!request) {
      return;
    }
    requests.Add(*request);
    connection.Send(StreamResponseHead(*request));
    if (++calls == 1) {
      connection.Send(Chunk("id: 1\ndata: a\n\n") +
                      Chunk("id: 2\ndata: b\n\nid: 3\nda"));
      connection.Reset();
      return;
    }
    connection.Send(Chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
    connection.ReadToEnd();
  };
  PlatformFixture platform(handler);
  const RawServer other(handler);
  platform.AddServer("engine-2", "model", other.address());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Connect();
  caller->Send(PlatformFixture::Request("/stream/x", "r1"));
  const std::string response = caller->ReadUntil("0\r\n\r\n");
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find("id: 1\ndata: a\n\n") != std::string::npos);
  CHECK(response.find("id: 2\ndata: b\n\n") != std::string::npos);
  CHECK(response.find("id: 3\ndata: c\n\n") != std::string::npos);
  CHECK(response.find("id: 3\nda\r\n") == std::string::npos);
  STRCMP_EQUAL("2", HeaderValue(requests.Get().at(1), "Last-Event-Id").c_str());
}

TEST(Gateway, ClosesTheServersConnectionWhenTheCallerDisconnects) {
  std::atomic<bool> ended = false;
  std::mutex mutex;
  std::condition_variable condition;
  PlatformFixture platform([&](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    connection.Send(StreamResponseHead(*request) + Chunk("id: 1\ndata: a\n\n"));
    connection.ReadToEnd();
    const std::lock_guard lock(mutex);
    ended = true;
    condition.notify_all();
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  {
    const auto caller = gateway.Connect();
    caller->Send(PlatformFixture::Request("/stream/x", "r1"));
    caller->ReadUntil("data: a");
  }
  std::unique_lock lock(mutex);
  CHECK(condition.wait_for(lock, std::chrono::milliseconds(500),
                           [&] { return ended.load(); }));
}

TEST(Gateway, RespondsAtTheRoutesTimeout) {
  PlatformFixture platform([](RawConnection& connection) {
    connection.ReadMessage();
    connection.ReadToEnd();
  });
  platform.PutConfiguration(2, false, "200");
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto start = std::chrono::steady_clock::now();
  CHECK(gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 504"));
  const auto elapsed = std::chrono::steady_clock::now() - start;
  CHECK(elapsed >= std::chrono::milliseconds(200));
  CHECK(elapsed < std::chrono::milliseconds(700));
}

TEST(Gateway, DrainFinishesAcceptedRequests) {
  std::atomic<bool> may_respond = false;
  std::mutex mutex;
  std::condition_variable condition;
  PlatformFixture platform([&](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    if (!request) {
      return;
    }
    std::unique_lock lock(mutex);
    condition.wait(lock, [&] { return may_respond.load(); });
    connection.Send(EngineResponse(*request, "finished"));
  });
  RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Connect();
  caller->Send(PlatformFixture::Request("/once/x", "r1"));
  gateway.RunOnEventLoop(
      [](Gateway& running_gateway) { running_gateway.StartDrain(); });
  CHECK(!gateway.IsReady());
  {
    const std::lock_guard lock(mutex);
    may_respond = true;
    condition.notify_all();
  }
  const std::string response = caller->ReadMessage().value_or("");
  CHECK(response.ends_with("finished"));
  STRCMP_EQUAL("close", HeaderValue(response, "Connection").c_str());
  CHECK(gateway.DrainAndWait());
}

TEST(Gateway, DrainingServerGetsNoNewRequests) {
  RequestLog first;
  RequestLog second;
  PlatformFixture platform(RespondWith(first, "first"));
  const RawServer other(RespondWith(second, "second"));
  platform.AddServer("orders-2", "orders", other.address());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  platform.AddServer("orders-1", "orders", platform.engine.address(),
                     "draining");
  // The gateway has to learn of it within the time that directory reads are
  // scheduled for.
  const auto start = std::chrono::steady_clock::now();
  int consecutive = 0;
  while (consecutive < 20 && std::chrono::steady_clock::now() - start <
                                 std::chrono::milliseconds(1500)) {
    consecutive = gateway.SendRequest(PlatformFixture::Request("/once/x", "r1"))
                          .ends_with("second")
                      ? consecutive + 1
                      : 0;
  }
  CHECK(consecutive >= 20);
}

TEST(Gateway, GetsDocumentsFromAnotherInstanceWhenTheStoreIsUnavailable) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "x"));
  StoreStandin unavailable_store;
  unavailable_store.SetFault(StoreFault::kReset);
  const RunningGateway first("a", platform.store.address());
  first.AwaitReady();
  const RunningGateway second("b", unavailable_store.address(),
                              {first.peers_address()});
  second.AwaitReady();
  CHECK(second.SendRequest(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 200"));
}

// Guards against calls to the store that grow with the fleet: each instance
// would wait there for changes of the configuration.
TEST(Gateway, FewInstancesOfADataCentreWaitForConfigurations) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "x"));
  const RunningGateway first("a", platform.store.address());
  std::vector<std::unique_ptr<RunningGateway>> others;
  for (const std::string name : {"b", "c", "d", "e", "f"}) {
    others.push_back(std::make_unique<RunningGateway>(
        name, platform.store.address(),
        std::vector<std::string>{first.peers_address()}));
  }
  first.AwaitReady();
  for (const auto& other : others) {
    other->AwaitReady();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  // Ends the waits that began before the instances knew each other.
  platform.PutConfiguration(2);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const int calls = platform.store.call_count("/kv-watch", "op/");
  platform.PutConfiguration(3, true);
  // All know it within a second.
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  CHECK(platform.store.call_count("/kv-watch", "op/") - calls <= 3);
  for (const auto& other : others) {
    CHECK(other->SendRequest(PlatformFixture::Request("/once/x", "r1"))
              .starts_with("HTTP/1.1 401"));
  }
}

TEST(Gateway, LimitsFullReadsWhenTheStoreHasNoHistory) {
  RequestLog requests;
  PlatformFixture platform(RespondWith(requests, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  platform.store.SetFault(StoreFault::kHistoryGone);
  const int configuration_calls = platform.store.call_count("/kv-range", "op/");
  const int directory_calls =
      platform.store.call_count("/kv-range", "servers/");
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start <
         std::chrono::milliseconds(1500)) {
    CHECK(gateway.IsReady());
  }
  const int configurations_read =
      platform.store.call_count("/kv-range", "op/") - configuration_calls;
  CHECK(configurations_read > 0);
  CHECK(configurations_read <= 6);
  // The directory is read every 500 ms in any case; the first read may be due
  // immediately.
  CHECK(platform.store.call_count("/kv-range", "servers/") - directory_calls <=
        4);
}
