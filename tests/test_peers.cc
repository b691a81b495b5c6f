// Tests of the frames that peers exchange and of the links between them.
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "net/peer_links.h"
#include "wire/peer_codec.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Encodes and decodes a message; fails unless the result is such a message.
template <typename T>
T RoundTrip(const T& message) {
  std::string bytes = EncodePeerFrame(PeerMessage(message));
  const auto frame = DecodePeerFrame(bytes);
  CHECK(frame.has_value() && frame->has_value());
  CHECK(bytes.empty());
  return std::get<T>(std::get<PeerMessage>(**frame));
}

// Records the events of one side's links.
class EventRecorder : public PeerListener {
 public:
  void OnPeerUp(const PeerState& peer) override {
    this->Record("up " + peer.name);
  }
  void OnPeerDraining(const PeerState& peer) override {
    this->Record("draining " + peer.name);
  }
  void OnPeerDown(const PeerState& peer, const std::string&) override {
    this->Record("down " + peer.name);
  }
  void OnPeerMessage(const std::string& peer,
                     const PeerMessage& message) override {
    if (const auto* request = std::get_if<SlotRequest>(&message)) {
      this->Record("request " + peer + " " + std::to_string(request->id));
    }
  }
  void OnAuthenticationFailed(const std::string&, const std::string&) override {
    this->Record("refused");
  }

  // Waits for the event; returns false if it doesn't occur within 20 seconds.
  bool WaitFor(const std::string& event) {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, seconds(20),
                                  [&] { return this->events.contains(event); });
  }
  bool Has(const std::string& event) {
    const std::lock_guard lock(this->mutex);
    return this->events.contains(event);
  }

 private:
  void Record(const std::string& event) {
    const std::lock_guard lock(this->mutex);
    this->events.insert(event);
    this->changed.notify_all();
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::set<std::string> events;
};

PeerLinksOptions Options(const std::string& name, const std::string& secret) {
  return {.name = name,
          .data_centre = "a",
          .host = "127.0.0.1",
          .secret = secret,
          .local_heartbeat_interval = milliseconds(100)};
}

std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

TEST_GROUP(PeerCodec){};

TEST(PeerCodec, DecodesEveryEncodedMessage) {
  const SlotRequest request =
      RoundTrip(SlotRequest{.id = 7,
                            .class_name = "fast",
                            .customer = "alice",
                            .service = "models",
                            .model = "m",
                            .group = 2,
                            .wait_time = milliseconds(15),
                            .prompt_tokens = 300,
                            .max_tokens = 20,
                            .prefix_hash = 99,
                            .tried = {"engine-1"}});
  CHECK_EQUAL(7U, request.id);
  STRCMP_EQUAL("alice", request.customer.c_str());
  CHECK(request.wait_time == milliseconds(15));
  STRCMP_EQUAL("engine-1", request.tried.front().c_str());
  CHECK(RoundTrip(SlotRefused{.id = 1,
                              .cause = EndCause::kEvicted,
                              .retry_after = seconds(2)})
            .cause == EndCause::kEvicted);
  CHECK(RoundTrip(SlotReleased{.id = 1, .end = SlotEnd::kFailure}).end ==
        SlotEnd::kFailure);
  STRCMP_EQUAL("e",
               RoundTrip(SlotGranted{.id = 1, .backend = "e"}).backend.c_str());
  STRCMP_EQUAL("u",
               RoundTrip(SlotHeld{.id = 1, .customer = "u"}).customer.c_str());
  CHECK_EQUAL(5, RoundTrip(SlotProgress{.id = 1, .tokens = 5}).tokens);
  CHECK_EQUAL(3U, RoundTrip(SlotRequestWithdrawn{.id = 3}).id);
}

TEST(PeerCodec, IncompleteFramesAreKept) {
  const std::string complete_frame =
      EncodePeerFrame(PeerHeartbeat{.revision = 5});
  for (std::size_t size = 0; size < complete_frame.size(); ++size) {
    std::string incomplete_frame = complete_frame.substr(0, size);
    const auto frame = DecodePeerFrame(incomplete_frame);
    CHECK(frame.has_value() && !frame->has_value());
  }
}

TEST(PeerCodec, RejectsMalformedFrames) {
  std::string too_long = "\xff\xff\xff\x7f rest";
  CHECK(DecodePeerFrame(too_long).error() == FrameError::kTooLong);
  // Changes each byte of a valid frame in turn. The decoder must not read
  // beyond the frame.
  const std::string complete_frame =
      EncodePeerFrame(PeerMessage(SlotGranted{.id = 1, .backend = "engine"}));
  for (std::size_t i = 4; i < complete_frame.size(); ++i) {
    std::string corrupted = complete_frame;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 0x55);
    DecodePeerFrame(corrupted);
  }
  std::string unknown_cause = EncodePeerFrame(
      PeerMessage(SlotRefused{.id = 1, .cause = static_cast<EndCause>(200)}));
  CHECK(DecodePeerFrame(unknown_cause).error() == FrameError::kMalformed);
}

TEST_GROUP(PeerLinks) {
  EventRecorder events_of_a;
  EventRecorder events_of_b;
};

TEST(PeerLinks, DeliversMessagesAndHeartbeatState) {
  PeerLinks a(Options("a", "the-same-secret-here"), this->events_of_a);
  PeerLinks b(Options("b", "the-same-secret-here"), this->events_of_b);
  a.Start();
  const int port = b.Start();
  a.SetListedPeers({{.name = "b", .address = Address(port)}});
  CHECK(this->events_of_a.WaitFor("up b"));
  CHECK(this->events_of_b.WaitFor("up a"));
  a.Send("b", SlotRequest{.id = 4});
  CHECK(this->events_of_b.WaitFor("request a 4"));
  b.SetConfigurationRevision(9);
  while (a.Peers().empty() || a.Peers().front().configuration_revision != 9) {
  }
  a.SetDraining();
  CHECK(this->events_of_b.WaitFor("draining a"));
  b.Stop();
  CHECK(this->events_of_a.WaitFor("down b"));
}

TEST(PeerLinks, ReconnectsToARestartedPeer) {
  PeerLinks a(Options("a", "the-same-secret-here"), this->events_of_a);
  a.Start();
  int port = 0;
  {
    PeerLinks b(Options("b", "the-same-secret-here"), this->events_of_b);
    port = b.Start();
    a.SetListedPeers({{.name = "b", .address = Address(port)}});
    CHECK(this->events_of_a.WaitFor("up b"));
  }
  CHECK(this->events_of_a.WaitFor("down b"));
  EventRecorder events_after_restart;
  PeerLinks b(Options("b", "the-same-secret-here"), events_after_restart);
  a.SetListedPeers({{.name = "b", .address = Address(b.Start())}});
  CHECK(events_after_restart.WaitFor("up a"));
}

TEST(PeerLinks, RefusesAPeerWithAnotherSecret) {
  PeerLinks a(Options("a", "the-same-secret-here"), this->events_of_a);
  PeerLinks b(Options("b", "quite-another-secret"), this->events_of_b);
  a.Start();
  const int port = b.Start();
  a.SetListedPeers({{.name = "b", .address = Address(port)}});
  CHECK(this->events_of_b.WaitFor("refused"));
  CHECK(!this->events_of_b.Has("up a"));
  CHECK(!this->events_of_a.Has("up b"));
}
