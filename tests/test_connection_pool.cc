// Tests of which kept connections to servers are used again, and of what a
// server gets of a request that was given up.
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "net/clock.h"
#include "platform/standins/raw_server.h"
#include "proxy/backend_connection.h"
#include "proxy/connection_pool.h"
#include "proxy/endpoint.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr char kRequest[] =
    "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n";
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
constexpr auto kMaxWait = std::chrono::seconds(5);

// A path on which answers may be missing.
class FakePathMonitor : public PathMonitor {
 public:
  [[nodiscard]] bool IsUnanswered(
      const boost::asio::ip::tcp::socket& /*socket*/) const override {
    return this->is_unanswered;
  }

  bool is_unanswered = false;
};

// Waits for the end of one response.
class AwaitedResponse : public ResponseListener {
 public:
  void OnSendStarted() override {}
  HeadDecision OnHead(const ResponseHead& /*head*/) override {
    return HeadDecision::kAccept;
  }
  void OnBody(std::string /*bytes*/) override {}
  void OnComplete() override { this->is_complete = true; }
  void OnFailed(FailureKind /*kind*/, const std::string& /*reason*/) override {
    this->has_failed = true;
  }

  bool is_complete = false;
  bool has_failed = false;
};

}  // namespace

TEST_GROUP(ConnectionPool) {
  boost::asio::io_context io;
  FakePathMonitor paths;
  ConnectionPool pool{this->io, this->paths};

  // Returns the pool's connection for a request.
  PooledConnection Acquire(const RegisteredServer& server,
                           const std::string& request_id) {
    return *this->pool.Acquire(server, request_id, MonotonicNow());
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto start = std::chrono::steady_clock::now();
    while (!condition()) {
      if (std::chrono::steady_clock::now() - start > kMaxWait) {
        return false;
      }
      this->io.restart();
      this->io.run_for(milliseconds(10));
    }
    return true;
  }

  // Sends a request and keeps the connection for the next one.
  void Complete(const RegisteredServer& server, const std::string& request_id) {
    AwaitedResponse response;
    const auto connection = this->Acquire(server, request_id).connection;
    connection->Send(kRequest, false, response);
    CHECK(this->RunUntil([&] { return response.is_complete; }));
    this->pool.Release(server, connection);
  }
};

TEST(ConnectionPool, ConnectionWithAnsweredProbesIsUsedAgain) {
  RawServer server([](RawConnection& connection) {
    while (connection.ReadMessage()) {
      connection.Send(kAnswer);
    }
  });
  const RegisteredServer target{.id = "s", .address = server.address()};
  this->Complete(target, "r1");
  CHECK(this->Acquire(target, "r2").reused);
}

// Guards against requests that arrive when a partition is over, at a server
// that has left meanwhile: they were written into a kept connection whose other
// side no longer answered.
TEST(ConnectionPool, ConnectionWithUnansweredProbesIsNotUsedAgain) {
  RawServer server([](RawConnection& connection) {
    while (connection.ReadMessage()) {
      connection.Send(kAnswer);
    }
  });
  const RegisteredServer target{.id = "s", .address = server.address()};
  this->Complete(target, "r1");
  this->Complete(target, "r2");
  this->paths.is_unanswered = true;
  CHECK(!this->Acquire(target, "r3").reused);
  CHECK_EQUAL(0, this->pool.idle_count());
}

// Guards against the same for a connection that was given up: the kernel went
// on to send what had been written.
TEST(ConnectionPool, RequestThatIsGivenUpIsTakenBack) {
  std::atomic<bool> may_read = false;
  std::atomic<int> requests = 0;
  std::atomic<bool> has_ended = false;
  RawServer server([&](RawConnection& connection) {
    while (!may_read) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    while (connection.ReadMessage()) {
      ++requests;
    }
    has_ended = true;
  });
  const RegisteredServer target{.id = "s", .address = server.address()};
  AwaitedResponse response;
  const auto connection = this->Acquire(target, "r1").connection;
  connection->Send(kRequest, false, response);
  CHECK(this->RunUntil([&] { return connection->unwritten_bytes() == 0; }));
  connection->Abort();
  may_read = true;
  CHECK(this->RunUntil([&] { return has_ended.load(); }));
  CHECK_EQUAL(0, requests.load());
}

TEST(ConnectionPool, ServerThatMayBeOutOfReachGetsANewConnection) {
  RawServer server([](RawConnection& connection) {
    while (connection.ReadMessage()) {
      connection.Send(kAnswer);
    }
  });
  const RegisteredServer target{.id = "s", .address = server.address()};
  this->Complete(target, "r1");
  CHECK(!this->pool.AcquireNew(target, "r2")->reused);
  CHECK_EQUAL(0, this->pool.idle_count());
}
