// Tests of which kept connections to servers are used again, and of what a
// server gets of a request that was given up.
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
// on to send what had been written. Of a body that the server doesn't read, a
// part waits in the kernel of the sender, as all of it does behind a partition.
TEST(ConnectionPool, RequestThatIsGivenUpIsTakenBack) {
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(this->io,
                         {boost::asio::ip::address_v4::loopback(), 0});
  const RegisteredServer target{
      .id = "s",
      .address =
          "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
  AwaitedResponse response;
  const auto connection = this->Acquire(target, "r1").connection;
  const auto body =
      std::make_shared<const std::string>(std::size_t{16} << 20U, 'x');
  connection->Send(kRequest, false, response, body);
  tcp::socket server = acceptor.accept();
  // Until both kernels take no more.
  std::size_t unwritten = 0;
  do {
    unwritten = connection->unwritten_bytes();
    this->io.restart();
    this->io.run_for(milliseconds(200));
  } while (connection->unwritten_bytes() != unwritten);
  CHECK(unwritten > 0);
  const std::size_t taken =
      std::string_view(kRequest).size() + body->size() - unwritten;
  connection->Abort();
  std::size_t received = 0;
  boost::system::error_code end;
  std::vector<char> buffer(std::size_t{64} << 10U);
  while (!end) {
    received += server.read_some(boost::asio::buffer(buffer), end);
  }
  CHECK(end == boost::asio::error::connection_reset);
  CHECK(received < taken);
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
