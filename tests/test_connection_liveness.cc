// Tests of connections whose other side is silent, does not read or reads
// slowly.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "platform/standins/raw_server.h"
#include "proxy/backend_connection.h"
#include "proxy/endpoint.h"
#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kRequest[] =
    "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n";
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
// Longer than each timeout of a server's connection.
constexpr auto kLongSilence = milliseconds(3500);
// Silences of a sound server or its host, which end nothing.
constexpr auto kShortSilence = milliseconds(2000);
// Longer than the user timeout of callers' connections and shorter than the
// idle timeout of the configuration.
constexpr auto kCallerSilence = seconds(12);
constexpr int kMaxDescriptors = 1024;

// The options that decide when the kernel ends a connection.
struct LivenessOptions {
  bool probes = false;
  milliseconds probe_after{};
  milliseconds probe_interval{};
  milliseconds user_timeout{};
};

int IntOption(int descriptor, int level, int name) {
  int value = 0;
  socklen_t size = sizeof(value);
  ::getsockopt(descriptor, level, name, &value, &size);
  return value;
}

// Returns the options of this process's connection to the port.
std::optional<LivenessOptions> OptionsOfConnectionTo(int port) {
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&address),
                      &size) == 0 &&
        address.sin_family == AF_INET && ntohs(address.sin_port) == port) {
      return LivenessOptions{
          .probes = IntOption(descriptor, SOL_SOCKET, SO_KEEPALIVE) != 0,
          .probe_after =
              seconds(IntOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE)),
          .probe_interval =
              seconds(IntOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL)),
          .user_timeout = milliseconds(
              IntOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT))};
    }
  }
  return std::nullopt;
}

// Records the response to one request.
class ResponseRecorder : public ResponseListener {
 public:
  explicit ResponseRecorder(boost::asio::io_context& io) : io(io) {}

  void OnSendStarted() override {}
  HeadDecision OnHead(const ResponseHead& /*head*/) override {
    return HeadDecision::kAccept;
  }
  void OnBody(std::string bytes) override { this->body += bytes; }
  void OnComplete() override { this->io.stop(); }
  void OnFailed(FailureKind kind, const std::string& /*reason*/) override {
    this->failure = kind;
    this->io.stop();
  }

  std::string body;
  std::optional<FailureKind> failure;

 private:
  boost::asio::io_context& io;
};

// Sends requests to a server over one connection.
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
  void StayIdle(Duration duration) {
    this->io.restart();
    this->io.run_for(duration);
  }
  [[nodiscard]] bool is_reusable() const {
    return this->connection->IsReusable();
  }

 private:
  boost::asio::io_context io;
  std::shared_ptr<BackendConnection> connection;
};

std::string RequestWithBody(std::size_t bytes) {
  return fmt::format(
             "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n",
             bytes) +
         std::string(bytes, 'x');
}

void CheckAnswered(const ResponseRecorder& response) {
  CHECK(!response.failure);
  STRCMP_EQUAL("whole", response.body.c_str());
}

}  // namespace

TEST_GROUP(ConnectionLiveness){};

// Guards against a connection, be it idle or with a request that its server
// works on, that ends because one keep-alive probe is lost.
TEST(ConnectionLiveness, LossOfOneProbeEndsNoConnection) {
  const RawServer server([](RawConnection& connection) {
    while (connection.ReadMessage()) {
      connection.Send(kAnswer);
    }
  });
  Client client(server);
  CheckAnswered(client.Send(kRequest));
  const auto options = OptionsOfConnectionTo(server.port());
  CHECK(options.has_value());
  CHECK(options->probes);
  // With a user timeout, the kernel gives up at the first probe at which the
  // timeout has passed, whatever the number of probes.
  const milliseconds second_probe =
      options->probe_after + options->probe_interval;
  CHECK(options->user_timeout > second_probe);
  // The host may also be silent while bytes of a request are on their way.
  CHECK(options->user_timeout > kShortSilence);
  CHECK(options->user_timeout <= seconds(3));
}

TEST(ConnectionLiveness, IdleConnectionOutlivesASilence) {
  const RawServer server([](RawConnection& connection) {
    while (connection.ReadMessage()) {
      connection.Send(kAnswer);
    }
  });
  Client client(server);
  CheckAnswered(client.Send(kRequest));
  client.StayIdle(kLongSilence);
  CHECK(client.is_reusable());
  CheckAnswered(client.Send(kRequest));
  CHECK_EQUAL(1, server.connection_count());
}

TEST(ConnectionLiveness, RequestOutlivesTheSilenceOfItsServer) {
  const RawServer server([](RawConnection& connection) {
    if (connection.ReadMessage()) {
      std::this_thread::sleep_for(kLongSilence);
      connection.Send(kAnswer);
    }
  });
  CheckAnswered(Client(server).Send(kRequest));
}

TEST(ConnectionLiveness, ResponseOutlivesASilenceWithinIt) {
  const RawServer server([](RawConnection& connection) {
    if (connection.ReadMessage()) {
      const std::string answer = kAnswer;
      connection.Send(answer.substr(0, answer.size() - 2));
      std::this_thread::sleep_for(kLongSilence);
      connection.Send(answer.substr(answer.size() - 2));
    }
  });
  CheckAnswered(Client(server).Send(kRequest));
}

// Guards against a request that ends because its server does not read for a
// while: the user timeout also ends connections whose window is full, although
// the other side acknowledges each probe.
TEST(ConnectionLiveness, LongRequestOutlivesAServerThatDoesNotRead) {
  const RawServer server([](RawConnection& connection) {
    std::this_thread::sleep_for(kLongSilence);
    if (connection.ReadMessage()) {
      connection.Send(kAnswer);
    }
  });
  // The first body exceeds the server's window, the second one the buffers of
  // both sides.
  for (const std::size_t bytes :
       {std::size_t{1} << 20U, std::size_t{32} << 20U}) {
    CheckAnswered(Client(server).Send(RequestWithBody(bytes)));
  }
}

// Guards against a response that ends because its caller does not read for
// longer than the user timeout, but for less than the idle timeout.
TEST(ConnectionLiveness, CallerThatReadsLateGetsTheWholeResponse) {
  const std::string body(std::size_t{32} << 20U, 'x');
  PlatformFixture platform([&](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, body));
    }
  });
  platform.PutConfiguration(2, false, "30000");
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  const auto caller = gateway.Connect();
  caller->Send(
      "POST /once/x HTTP/1.1\r\nHost: site.example\r\n"
      "Rosemarycove-Request-Id: r1\r\nAuthorization: Token key-1\r\n"
      "Rosemarycove-Deadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n");
  std::this_thread::sleep_for(kCallerSilence);
  const auto response = caller->ReadMessage();
  CHECK(response.has_value());
  CHECK(response->ends_with(body));
}
