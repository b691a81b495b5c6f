// Tests of requests at an instance that can't reach the backend servers while
// another instance can.
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <map>
#include <mutex>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// An address at which connections are neither accepted nor refused, as in a
// network partition: the queue of its listener is full.
class UnansweredAddress {
 public:
  UnansweredAddress() : listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    ::bind(this->listener, generic, size);
    ::listen(this->listener, 0);
    ::getsockname(this->listener, generic, &size);
    this->port = ntohs(address.sin_port);
    for (int& filler : this->fillers) {
      filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      ::connect(filler, generic, size);
    }
  }
  ~UnansweredAddress() {
    for (const int filler : this->fillers) {
      ::close(filler);
    }
    ::close(this->listener);
  }
  UnansweredAddress(const UnansweredAddress&) = delete;
  UnansweredAddress& operator=(const UnansweredAddress&) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  int listener;
  int port = 0;
  std::array<int, 4> fillers{};
};

// Returns an address at which connections are refused.
std::string RefusedAddress() {
  return RawServer([](RawConnection&) {}).address();
}

// Counts the requests that the engines get, by id.
class CountingEngines {
 public:
  RawServer::Handler Handler() {
    return [this](RawConnection& connection) {
      while (const auto request = connection.ReadMessage()) {
        {
          const std::lock_guard lock(this->mutex);
          ++this->runs[HeaderValue(*request, "Rosemarycove-Request-Id")];
        }
        if (request->starts_with("POST /stream/")) {
          connection.Send(StreamResponseHead(*request) +
                          Chunk("id: 1\ndata: a\n\n") +
                          Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
        } else {
          connection.Send(EngineResponse(*request, "done"));
        }
      }
    };
  }
  int runs_of(const std::string& id) {
    const std::lock_guard lock(this->mutex);
    return this->runs[id];
  }

 private:
  std::mutex mutex;
  std::map<std::string, int> runs;
};

// Two instances of which "cut" finds the servers only as the map says.
class CutFixture {
 public:
  explicit CutFixture(AddressMap map)
      : platform(this->engines.Handler()),
        sound("sound", this->platform.store.address()),
        cut("cut", this->platform.store.address(),
            {this->sound.peers_address()}, std::chrono::seconds(8),
            std::move(map)) {
    this->sound.AwaitReady();
    this->cut.AwaitReady();
    // The instances know each other.
    constexpr int kMaxTries = 20000;
    for (int i = 0; i < kMaxTries && !this->HasPeer(this->cut); ++i) {
    }
    for (int i = 0; i < kMaxTries && !this->HasPeer(this->sound); ++i) {
    }
  }

  CountingEngines engines;
  PlatformFixture platform;
  RunningGateway sound;
  RunningGateway cut;

 private:
  static bool HasPeer(const RunningGateway& gateway) {
    return gateway.GetStatusPage("/metrics").find("rosemarycove_peers 1\n") !=
           std::string::npos;
  }
};

// Sends requests of a route to the cut instance; returns how many were served
// at the first attempt.
int CountServed(CutFixture& fixture, const std::string& path, int count) {
  int served = 0;
  for (int i = 0; i < count; ++i) {
    const std::string id = path.substr(1, 1) + std::to_string(i);
    const auto connection = fixture.cut.Connect();
    connection->Send(
        PlatformFixture::Request(path, id, "Connection: close\r\n"));
    const std::string end = path == "/stream/" ? "0\r\n\r\n" : "done";
    const std::string response = connection->ReadToEnd();
    if (response.starts_with("HTTP/1.1 200") && response.ends_with(end)) {
      ++served;
      CHECK_EQUAL(1, fixture.engines.runs_of(id));
    }
  }
  return served;
}

constexpr int kRequests = 6;

}  // namespace

TEST_GROUP(RelayedRequests){};

// Guards against instances that refuse their callers because they can't reach
// the servers, while other instances can: connections are refused.
TEST(RelayedRequests, InstanceWhoseServersRefuseServesThroughAnother) {
  const std::string refused = RefusedAddress();
  CutFixture fixture([refused](const std::string&) { return refused; });
  CHECK_EQUAL(kRequests, CountServed(fixture, "/once/", kRequests));
  CHECK_EQUAL(kRequests, CountServed(fixture, "/again/", kRequests));
  CHECK_EQUAL(kRequests, CountServed(fixture, "/stream/", kRequests));
}

// The same if connections are not answered, as in a network partition.
TEST(RelayedRequests, InstanceWhoseServersAreSilentServesThroughAnother) {
  const UnansweredAddress unanswered;
  CutFixture fixture(
      [&unanswered](const std::string&) { return unanswered.address(); });
  CHECK_EQUAL(kRequests, CountServed(fixture, "/once/", kRequests));
  CHECK_EQUAL(kRequests, CountServed(fixture, "/again/", kRequests));
  CHECK_EQUAL(kRequests, CountServed(fixture, "/stream/", kRequests));
}
