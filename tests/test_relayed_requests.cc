// Tests of requests at an instance that can't reach the backend servers while
// another instance can.
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
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
  explicit CutFixture(AddressMap map, AddressMap map_of_sound = {})
      : platform(this->engines.Handler()),
        sound("sound", this->platform.store.address(), {},
              std::chrono::seconds(8), std::move(map_of_sound)),
        cut("cut", this->platform.store.address(),
            {this->sound.peers_address()}, std::chrono::seconds(8),
            std::move(map)) {
    this->sound.AwaitReady();
    this->cut.AwaitReady();
    CHECK(this->cut.AwaitMetric("rosemarycove_relay_peers", 1));
    CHECK(this->sound.AwaitMetric("rosemarycove_relay_peers", 1));
  }

  CountingEngines engines;
  PlatformFixture platform;
  RunningGateway sound;
  RunningGateway cut;
};

constexpr int kRequests = 6;
constexpr char kRelayedMetric[] = "rosemarycove_requests_relayed_total";

// Sends requests of a route to the cut instance, and checks that each is served
// at the first attempt and runs once.
void CheckAllServed(CutFixture& fixture, const std::string& path) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = path.substr(1, 1) + std::to_string(i);
    const auto connection = fixture.cut.Connect();
    connection->Send(
        PlatformFixture::Request(path, id, "Connection: close\r\n"));
    const std::string end = path == "/stream/" ? "0\r\n\r\n" : "done";
    const std::string response = connection->ReadToEnd();
    const int runs = fixture.engines.runs_of(id);
    if (response.starts_with("HTTP/1.1 200") && response.ends_with(end) &&
        runs == 1) {
      ++served;
    }
  }
  CHECK_EQUAL(kRequests, served);
}

}  // namespace

TEST_GROUP(RelayedRequests){};

// Guards against instances that refuse their callers because they can't reach
// the servers, while other instances can: connections are refused.
TEST(RelayedRequests, InstanceWhoseServersRefuseServesThroughAnother) {
  const std::string refused = RefusedAddress();
  CutFixture fixture([refused](const std::string&) { return refused; });
  CheckAllServed(fixture, "/once/");
  CheckAllServed(fixture, "/again/");
  CheckAllServed(fixture, "/stream/");
}

// The same if connections are not answered, as in a network partition.
TEST(RelayedRequests, InstanceWhoseServersAreSilentServesThroughAnother) {
  const UnansweredAddress unanswered;
  CutFixture fixture(
      [&unanswered](const std::string&) { return unanswered.address(); });
  CheckAllServed(fixture, "/once/");
  CheckAllServed(fixture, "/again/");
  CheckAllServed(fixture, "/stream/");
}

// Guards against requests that go round between instances that all lost the
// servers: the other instance refuses, and the refusal is true.
TEST(RelayedRequests, RequestIsRelayedOnceIfNoInstanceReachesTheServers) {
  const std::string refused = RefusedAddress();
  const AddressMap map = [refused](const std::string&) { return refused; };
  CutFixture fixture(map, map);
  const std::string response =
      fixture.cut.SendRequest(PlatformFixture::Request("/once/", "o"));
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(HeaderValue(response, "Relay-Cause").empty());
  CHECK_EQUAL(0, fixture.engines.runs_of("o"));
  CHECK(fixture.cut.MetricValue(kRelayedMetric) == 1);
  CHECK(fixture.sound.MetricValue(kRelayedMetric) == 0);
}

// Guards against fields of the interface between instances that a caller
// forges, or gets to see.
TEST(RelayedRequests, FieldsBetweenInstancesAreNotTakenFromCallers) {
  const std::string refused = RefusedAddress();
  CutFixture fixture([refused](const std::string&) { return refused; });
  const std::string response = fixture.cut.SendRequest(
      PlatformFixture::Request("/once/", "o",
                               "Relay-From: x\r\nRelay-Age-Ms: 60000\r\n"
                               "Relay-Possible-Executions: 1\r\n"));
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(HeaderValue(response, "Relay-Server").empty());
  CHECK_EQUAL(1, fixture.engines.runs_of("o"));
}

// Guards against requests that are lost because the instance to which they are
// relayed has ended.
TEST(RelayedRequests, AnotherInstanceIsUsedIfOneHasEnded) {
  const std::string refused = RefusedAddress();
  CutFixture fixture([refused](const std::string&) { return refused; });
  auto third = std::make_unique<RunningGateway>(
      "third", fixture.platform.store.address(),
      std::vector<std::string>{fixture.sound.peers_address()});
  third->AwaitReady();
  CHECK(fixture.cut.AwaitMetric("rosemarycove_relay_peers", 2));
  CheckAllServed(fixture, "/once/");
  third.reset();
  CheckAllServed(fixture, "/again/");
}

// Guards against an instance that goes on to relay after it reaches the servers
// again.
TEST(RelayedRequests, ServersAreUsedDirectlyOnceTheyAreReached) {
  const std::string refused = RefusedAddress();
  std::atomic<bool> is_cut = true;
  CutFixture fixture([&is_cut, refused](const std::string& address) {
    return is_cut ? refused : address;
  });
  CheckAllServed(fixture, "/again/");
  is_cut = false;
  // The instance reads the entry again.
  fixture.platform.AddServer("stock-1", "stock",
                             fixture.platform.engine.address(), "ready", 2);
  constexpr int kMaxTries = 2000;
  double relayed = -1;
  bool is_direct = false;
  for (int i = 0; i < kMaxTries && !is_direct; ++i) {
    CHECK(fixture.cut
              .SendRequest(PlatformFixture::Request(
                  "/again/", "later" + std::to_string(i)))
              .starts_with("HTTP/1.1 200"));
    const double before =
        std::exchange(relayed, fixture.cut.MetricValue(kRelayedMetric));
    is_direct = before == relayed;
  }
  CHECK(is_direct);
  CHECK(fixture.cut.MetricValue("rosemarycove_services_out_of_reach") == 0);
}

// Guards against a request that goes on at a server after its caller has left
// the instance that relayed it.
TEST(RelayedRequests, CallerThatLeavesEndsTheRequestAtTheServer) {
  std::promise<bool> ended;
  PlatformFixture platform([&ended](RawConnection& connection) {
    const auto request = connection.ReadMessage();
    connection.Send(StreamResponseHead(*request) + Chunk("id: 1\ndata: a\n\n"));
    connection.ReadToEnd();
    ended.set_value(true);
  });
  const std::string refused = RefusedAddress();
  RunningGateway sound("sound", platform.store.address());
  RunningGateway cut("cut", platform.store.address(), {sound.peers_address()},
                     std::chrono::seconds(8),
                     [refused](const std::string&) { return refused; });
  sound.AwaitReady();
  cut.AwaitReady();
  CHECK(cut.AwaitMetric("rosemarycove_relay_peers", 1));
  auto caller = cut.Connect();
  caller->Send(PlatformFixture::Request("/stream/", "s"));
  CHECK(caller->ReadUntil("data: a").starts_with("HTTP/1.1 200"));
  caller->Close();
  CHECK(ended.get_future().wait_for(std::chrono::seconds(2)) ==
        std::future_status::ready);
}
