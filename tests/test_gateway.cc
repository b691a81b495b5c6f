// The data path on sockets, against stand-ins of the platform.
#include <atomic>
#include <mutex>

#include "tests/gateway_fixture.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// Collects the requests that engines got.
class Arrivals {
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

// Answers every request with this body.
RawServer::Handler Answers(Arrivals& arrivals, const std::string& body) {
  return [&arrivals, body](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      arrivals.Add(*request);
      connection.Send(EngineAnswer(*request, body));
    }
  };
}

std::string StatusLine(const std::string& answer) {
  return answer.substr(0, answer.find("\r\n"));
}

}  // namespace

TEST_GROUP(Gateway){};

TEST(Gateway, ForwardsExactlyAndSetsItsOwnFields) {
  Arrivals arrivals;
  PlatformFixture platform(Answers(arrivals, "engine bytes"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const std::string answer = gateway.Ask(PlatformFixture::Request(
      "/once/x?q=%20a&b", "r1",
      "X-Own: kept\r\nConnection: X-Hop, Rosemarycove-Model\r\nX-Hop: 1\r\n"
      "Rosemarycove-Model: m\r\nRosemarycove-Tenant: forged\r\n"
      "Rosemarycove-Kv-Hold: forged\r\nKv-From: forged\r\n",
      "body"));
  STRCMP_EQUAL("HTTP/1.1 200 OK", StatusLine(answer).c_str());
  STRCMP_EQUAL("seal", HeaderValue(answer, "Rosemarycove-Server-Seal").c_str());
  CHECK(answer.ends_with("\r\n\r\nengine bytes"));
  const std::string seen = arrivals.Get().at(0);
  STRCMP_EQUAL("POST /once/x?q=%20a&b HTTP/1.1", StatusLine(seen).c_str());
  CHECK(seen.ends_with("\r\n\r\nbody"));
  STRCMP_EQUAL("r1", HeaderValue(seen, "Rosemarycove-Request-Id").c_str());
  STRCMP_EQUAL("kept", HeaderValue(seen, "X-Own").c_str());
  STRCMP_EQUAL("m", HeaderValue(seen, "Rosemarycove-Model").c_str());
  STRCMP_EQUAL("customer-1", HeaderValue(seen, "Rosemarycove-Tenant").c_str());
  STRCMP_EQUAL("orders-1",
               HeaderValue(seen, "Rosemarycove-Expect-Instance").c_str());
  CHECK(HeaderValue(seen, "X-Hop").empty());
  CHECK(HeaderValue(seen, "Authorization").empty());
  CHECK(HeaderValue(seen, "Rosemarycove-Kv-Hold").empty());
  CHECK(HeaderValue(seen, "Kv-From").empty());
  CHECK(std::stoi(HeaderValue(seen, "Rosemarycove-Deadline-Ms")) <= 2000);
}

TEST(Gateway, RefusesWhatConfigurationsDoNotAllow) {
  Arrivals arrivals;
  PlatformFixture platform(Answers(arrivals, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.Ask(PlatformFixture::Request("/none/x", "r1"))
            .starts_with("HTTP/1.1 404"));
  CHECK(gateway
            .Ask("POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
                 "Authorization: Token other\r\nContent-Length: 0\r\n\r\n")
            .starts_with("HTTP/1.1 401"));
  CHECK(arrivals.Get().empty());
}

TEST(Gateway, WithoutConfigurationItIsNotReadyAndRefusesAsNotRun) {
  const StoreStandin store;
  const RunningGateway gateway("a", store.address());
  CHECK(!gateway.IsReady());
  const std::string answer =
      gateway.Ask(PlatformFixture::Request("/once/x", "r1"));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(!HeaderValue(answer, "Retry-After").empty());
}

TEST(Gateway, TheStatusAddressGivesMetrics) {
  Arrivals arrivals;
  PlatformFixture platform(Answers(arrivals, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.Ask(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 200"));
  const std::string metrics = gateway.Status("/metrics");
  CHECK(metrics.starts_with("HTTP/1.1 200"));
  CHECK(metrics.find("rosemarycove_requests_total{class=\"once\"") !=
        std::string::npos);
  CHECK(metrics.find("rosemarycove_whole_seconds") != std::string::npos);
}

TEST(Gateway, RevokedKeysAreRefusedOnceTheVersionIsKnown) {
  Arrivals arrivals;
  PlatformFixture platform(Answers(arrivals, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  platform.PutConfiguration(2, true);
  CHECK(gateway.AskUntil(PlatformFixture::Request("/once/x", "r1"),
                         "HTTP/1.1 401"));
  // An older version that is written later is not adopted.
  platform.PutConfiguration(1);
  platform.store.Put("op/config", "not a configuration");
  platform.PutConfiguration(3, true);
  CHECK(gateway.Ask(PlatformFixture::Request("/once/x", "r2"))
            .starts_with("HTTP/1.1 401"));
}

TEST(Gateway, RefusesAmbiguousFramingAndClosesTheConnection) {
  Arrivals arrivals;
  PlatformFixture platform(Answers(arrivals, "x"));
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
    const auto caller = gateway.Call();
    caller->Send(request);
    CHECK(caller->ReadMessage().value_or("").starts_with("HTTP/1.1 400"));
  }
  CHECK(arrivals.Get().empty());
}

TEST(Gateway, BoundsHeadsAndBodies) {
  Arrivals arrivals;
  PlatformFixture platform(Answers(arrivals, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway
            .Ask(PlatformFixture::Request(
                "/once/x", "r1", "X-A: " + std::string(5000, 'a') + "\r\n"))
            .starts_with("HTTP/1.1 431"));
  CHECK(gateway
            .Ask(PlatformFixture::Request("/once/x", "r1", "",
                                          std::string(70000, 'a')))
            .starts_with("HTTP/1.1 413"));
  CHECK(arrivals.Get().empty());
}

TEST(Gateway, ChunkedBodiesArriveWhole) {
  Arrivals arrivals;
  PlatformFixture platform(Answers(arrivals, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const std::string answer = gateway.Ask(
      "POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
      "Authorization: Token key-1\r\nRosemarycove-Request-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(arrivals.Get().at(0).ends_with("\r\n\r\nabcde"));
}

TEST(Gateway, AnAnswerThatBreaksOffNeverLooksComplete) {
  PlatformFixture platform([](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    const std::string whole = EngineAnswer(*request, std::string(100000, 'x'));
    connection.Send(whole.substr(0, 90000));
    connection.Reset();
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Call();
  caller->Send(PlatformFixture::Request("/once/x", "r1"));
  CHECK(!caller->ReadMessage().has_value());
}

TEST(Gateway, WhatMayHaveRunOnceIsNotRepeatedNorRefusedAsNotRun) {
  Arrivals arrivals;
  PlatformFixture platform([&](RawConnection& connection) {
    if (const auto request = connection.ReadMessage()) {
      arrivals.Add(*request);
      connection.Reset();
    }
  });
  platform.AddServer("orders-2", "orders", platform.engine.address());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.Ask(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 502"));
  CHECK_EQUAL(1U, arrivals.Get().size());
}

TEST(Gateway, RepeatsWhatMayBeRepeatedWithinTheRoutesAttempts) {
  Arrivals arrivals;
  PlatformFixture platform([&](RawConnection& connection) {
    if (const auto request = connection.ReadMessage()) {
      arrivals.Add(*request);
      connection.Reset();
    }
  });
  Arrivals second;
  const RawServer sound(Answers(second, "sound"));
  platform.AddServer("stock-2", "stock", sound.address());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  for (int i = 0; i < 4; ++i) {
    CHECK(
        gateway
            .Ask(PlatformFixture::Request("/again/x", "r" + std::to_string(i)))
            .ends_with("sound"));
  }
}

TEST(Gateway, AServerThatDidNotRunItLeavesTheRefusalTrue) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineAnswer(*request, "", "503 Full",
                                   "Rosemarycove-Not-Executed: 1\r\n"));
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const std::string answer =
      gateway.Ask(PlatformFixture::Request("/once/x", "r1"));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(!HeaderValue(answer, "Retry-After").empty());
}

TEST(Gateway, APromiseThatTheServerDidNotProveIsNotPassedOn) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineAnswer(*request, "", "503 Ran"));
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.Ask(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 502"));
}

TEST(Gateway, SkipsAnAnswerToAnotherRequestAndDropsTheConnection) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      const std::string stray =
          "HTTP/1.1 200 OK\r\nRosemarycove-Request-Id: another\r\n"
          "Rosemarycove-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nstray";
      connection.Send(stray + EngineAnswer(*request, "own"));
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(gateway.Ask(PlatformFixture::Request("/once/x", "r1"))
            .ends_with("\r\n\r\nown"));
  CHECK(gateway.Ask(PlatformFixture::Request("/once/x", "r2"))
            .ends_with("\r\n\r\nown"));
  CHECK_EQUAL(2, platform.engine.connection_count());
}

TEST(Gateway, BytesBehindAnAnswerBelongToNoRequest) {
  PlatformFixture platform([](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineAnswer(*request, "own") + "HTTP/1.1 200 OK\r\n");
    }
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  for (const char* id : {"r1", "r2"}) {
    CHECK(gateway.Ask(PlatformFixture::Request("/once/x", id))
              .ends_with("\r\n\r\nown"));
  }
  CHECK_EQUAL(2, platform.engine.connection_count());
}

TEST(Gateway, AnEarlyAnswerEndsTheServersConnection) {
  std::atomic<int> served = 0;
  PlatformFixture platform([&](RawConnection& connection) {
    const std::string head = connection.ReadUntil("\r\n\r\n");
    ++served;
    connection.Send(EngineAnswer(head, "early", "413 Long"));
    connection.ReadToEnd();
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const std::string body(60000, 'b');
  CHECK(gateway.Ask(PlatformFixture::Request("/once/x", "r1", "", body))
            .starts_with("HTTP/1.1 413"));
  CHECK_EQUAL(1, served.load());
}

TEST(Gateway, AnAnswerWithoutLengthEndsWithACleanCloseOnly) {
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
  CHECK(gateway.Ask(PlatformFixture::Request("/once/x", "r1"))
            .ends_with("\r\n\r\nwhole"));
  clean = false;
  CHECK(!gateway.Ask(PlatformFixture::Request("/once/x", "r2"))
             .starts_with("HTTP/1.1 200"));
}

TEST(Gateway, PassesEventsOnAndResumesABrokenStreamElsewhere) {
  std::atomic<int> calls = 0;
  Arrivals arrivals;
  const auto handler = [&](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    if (!request) {
      return;
    }
    arrivals.Add(*request);
    connection.Send(StreamHead(*request));
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
  const auto caller = gateway.Call();
  caller->Send(PlatformFixture::Request("/stream/x", "r1"));
  const std::string answer = caller->ReadUntil("0\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.find("id: 1\ndata: a\n\n") != std::string::npos);
  CHECK(answer.find("id: 2\ndata: b\n\n") != std::string::npos);
  CHECK(answer.find("id: 3\ndata: c\n\n") != std::string::npos);
  CHECK(answer.find("id: 3\nda\r\n") == std::string::npos);
  STRCMP_EQUAL("2", HeaderValue(arrivals.Get().at(1), "Last-Event-Id").c_str());
}

TEST(Gateway, ACallerThatLeavesEndsTheServersWork) {
  std::atomic<bool> ended = false;
  std::mutex mutex;
  std::condition_variable changed;
  PlatformFixture platform([&](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    connection.Send(StreamHead(*request) + Chunk("id: 1\ndata: a\n\n"));
    connection.ReadToEnd();
    const std::lock_guard lock(mutex);
    ended = true;
    changed.notify_all();
  });
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  {
    const auto caller = gateway.Call();
    caller->Send(PlatformFixture::Request("/stream/x", "r1"));
    caller->ReadUntil("data: a");
  }
  std::unique_lock lock(mutex);
  CHECK(changed.wait_for(lock, std::chrono::milliseconds(500),
                         [&] { return ended.load(); }));
}

TEST(Gateway, AnswersAtTheRoutesTimeout) {
  PlatformFixture platform([](RawConnection& connection) {
    connection.ReadMessage();
    connection.ReadToEnd();
  });
  platform.PutConfiguration(2, false, "200");
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto start = std::chrono::steady_clock::now();
  CHECK(gateway.Ask(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 504"));
  const auto took = std::chrono::steady_clock::now() - start;
  CHECK(took >= std::chrono::milliseconds(200));
  CHECK(took < std::chrono::milliseconds(700));
}

TEST(Gateway, LeavesInOrderAndFinishesWhatItTook) {
  std::atomic<bool> go = false;
  std::mutex mutex;
  std::condition_variable changed;
  PlatformFixture platform([&](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    if (!request) {
      return;
    }
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return go.load(); });
    connection.Send(EngineAnswer(*request, "finished"));
  });
  RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Call();
  caller->Send(PlatformFixture::Request("/once/x", "r1"));
  gateway.Do([](Gateway& running) { running.StartDrain(); });
  CHECK(!gateway.IsReady());
  {
    const std::lock_guard lock(mutex);
    go = true;
    changed.notify_all();
  }
  const std::string answer = caller->ReadMessage().value_or("");
  CHECK(answer.ends_with("finished"));
  STRCMP_EQUAL("close", HeaderValue(answer, "Connection").c_str());
  CHECK(gateway.LeaveAndWait());
}

TEST(Gateway, AServerThatLeavesGetsNoNewRequests) {
  Arrivals first;
  Arrivals second;
  PlatformFixture platform(Answers(first, "first"));
  const RawServer other(Answers(second, "second"));
  platform.AddServer("orders-2", "orders", other.address());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  platform.AddServer("orders-1", "orders", platform.engine.address(),
                     "draining");
  // Known within the bound that directory readings are made for.
  const auto start = std::chrono::steady_clock::now();
  int in_a_row = 0;
  while (in_a_row < 20 && std::chrono::steady_clock::now() - start <
                              std::chrono::milliseconds(1500)) {
    in_a_row = gateway.Ask(PlatformFixture::Request("/once/x", "r1"))
                       .ends_with("second")
                   ? in_a_row + 1
                   : 0;
  }
  CHECK(in_a_row >= 20);
}

TEST(Gateway, AnInstanceWithoutTheStoreLearnsFromAnother) {
  Arrivals arrivals;
  PlatformFixture platform(Answers(arrivals, "x"));
  StoreStandin away;
  away.SetFault(StoreFault::kReset);
  const RunningGateway first("a", platform.store.address());
  first.AwaitReady();
  const RunningGateway second("b", away.address(), {first.peers_address()});
  second.AwaitReady();
  CHECK(second.Ask(PlatformFixture::Request("/once/x", "r1"))
            .starts_with("HTTP/1.1 200"));
}

TEST(Gateway, ReadsEverythingAnewWithoutHasteWhenTheHistoryIsGone) {
  Arrivals arrivals;
  PlatformFixture platform(Answers(arrivals, "x"));
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  platform.store.SetFault(StoreFault::kHistoryGone);
  const int configurations = platform.store.call_count("/kv-range", "op/");
  const int directories = platform.store.call_count("/kv-range", "servers/");
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start <
         std::chrono::milliseconds(1500)) {
    CHECK(gateway.IsReady());
  }
  const int configurations_read =
      platform.store.call_count("/kv-range", "op/") - configurations;
  CHECK(configurations_read > 0);
  CHECK(configurations_read <= 6);
  // Read every 500 ms in any case; the first may be due at once.
  CHECK(platform.store.call_count("/kv-range", "servers/") - directories <= 4);
}
