// Frames and links between instances.
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

// Encodes and decodes a message; fails when it is no longer a message.
template <typename T>
T RoundTrip(const T& message) {
  std::string bytes = EncodePeerFrame(PeerMessage(message));
  const auto frame = DecodePeerFrame(bytes);
  CHECK(frame.has_value() && frame->has_value());
  CHECK(bytes.empty());
  return std::get<T>(std::get<PeerMessage>(**frame));
}

// Collects what happens on one side's links.
class Recorder : public PeerListener {
 public:
  void OnPeerUp(const PeerState& peer) override {
    this->Note("up " + peer.name);
  }
  void OnPeerLeaving(const PeerState& peer) override {
    this->Note("leaving " + peer.name);
  }
  void OnPeerDown(const PeerState& peer, const std::string&) override {
    this->Note("down " + peer.name);
  }
  void OnPeerMessage(const std::string& peer,
                     const PeerMessage& message) override {
    if (const auto* ask = std::get_if<AskSlot>(&message)) {
      this->Note("ask " + peer + " " + std::to_string(ask->id));
    }
  }
  void OnPeerRefused(const std::string&, const std::string&) override {
    this->Note("refused");
  }

  // Waits until this happened; false when it does not come.
  bool Await(const std::string& what) {
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, seconds(20),
                                  [&] { return this->seen.contains(what); });
  }
  bool Saw(const std::string& what) {
    const std::lock_guard lock(this->mutex);
    return this->seen.contains(what);
  }

 private:
  void Note(const std::string& what) {
    const std::lock_guard lock(this->mutex);
    this->seen.insert(what);
    this->changed.notify_all();
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::set<std::string> seen;
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

TEST(PeerCodec, MessagesSurvive) {
  const AskSlot ask = RoundTrip(AskSlot{.id = 7,
                                        .class_name = "fast",
                                        .customer = "alice",
                                        .service = "models",
                                        .model = "m",
                                        .group = 2,
                                        .waited = milliseconds(15),
                                        .prompt_tokens = 300,
                                        .max_tokens = 20,
                                        .prefix = 99,
                                        .tried = {"engine-1"}});
  CHECK_EQUAL(7U, ask.id);
  STRCMP_EQUAL("alice", ask.customer.c_str());
  CHECK(ask.waited == milliseconds(15));
  STRCMP_EQUAL("engine-1", ask.tried.front().c_str());
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
  CHECK_EQUAL(5, RoundTrip(TokensSeen{.id = 1, .tokens = 5}).tokens);
  CHECK_EQUAL(3U, RoundTrip(WithdrawAsk{.id = 3}).id);
}

TEST(PeerCodec, PartsOfAFrameWaitForTheRest) {
  const std::string whole = EncodePeerFrame(PeerHeartbeat{.revision = 5});
  for (std::size_t size = 0; size < whole.size(); ++size) {
    std::string part = whole.substr(0, size);
    const auto frame = DecodePeerFrame(part);
    CHECK(frame.has_value() && !frame->has_value());
  }
}

TEST(PeerCodec, BadFramesAreRefused) {
  std::string too_long = "\xff\xff\xff\x7f rest";
  CHECK(DecodePeerFrame(too_long).error() == FrameError::kTooLong);
  // Each byte of a good frame is changed in turn; none may be read past.
  const std::string whole =
      EncodePeerFrame(PeerMessage(SlotGranted{.id = 1, .backend = "engine"}));
  for (std::size_t i = 4; i < whole.size(); ++i) {
    std::string bad = whole;
    bad[i] = static_cast<char>(bad[i] ^ 0x55);
    DecodePeerFrame(bad);
  }
  std::string unknown_cause = EncodePeerFrame(
      PeerMessage(SlotRefused{.id = 1, .cause = static_cast<EndCause>(200)}));
  CHECK(DecodePeerFrame(unknown_cause).error() == FrameError::kMalformed);
}

TEST_GROUP(PeerLinks) {
  Recorder at_a;
  Recorder at_b;
};

TEST(PeerLinks, MessagesRevisionsAndLeavingArrive) {
  PeerLinks a(Options("a", "the-same-secret-here"), this->at_a);
  PeerLinks b(Options("b", "the-same-secret-here"), this->at_b);
  a.Start();
  const int port = b.Start();
  a.SetListedPeers({{.name = "b", .address = Address(port)}});
  CHECK(this->at_a.Await("up b"));
  CHECK(this->at_b.Await("up a"));
  a.Send("b", AskSlot{.id = 4});
  CHECK(this->at_b.Await("ask a 4"));
  b.SetRevision(9);
  while (a.Peers().empty() || a.Peers().front().revision != 9) {
  }
  a.SetLeaving();
  CHECK(this->at_b.Await("leaving a"));
  b.Stop();
  CHECK(this->at_a.Await("down b"));
}

TEST(PeerLinks, ARestartedPeerIsFoundAgain) {
  PeerLinks a(Options("a", "the-same-secret-here"), this->at_a);
  a.Start();
  int port = 0;
  {
    PeerLinks b(Options("b", "the-same-secret-here"), this->at_b);
    port = b.Start();
    a.SetListedPeers({{.name = "b", .address = Address(port)}});
    CHECK(this->at_a.Await("up b"));
  }
  CHECK(this->at_a.Await("down b"));
  Recorder again;
  PeerLinks b(Options("b", "the-same-secret-here"), again);
  a.SetListedPeers({{.name = "b", .address = Address(b.Start())}});
  CHECK(again.Await("up a"));
}

TEST(PeerLinks, AnotherSecretIsRefused) {
  PeerLinks a(Options("a", "the-same-secret-here"), this->at_a);
  PeerLinks b(Options("b", "quite-another-secret"), this->at_b);
  a.Start();
  const int port = b.Start();
  a.SetListedPeers({{.name = "b", .address = Address(port)}});
  CHECK(this->at_b.Await("refused"));
  CHECK(!this->at_b.Saw("up a"));
  CHECK(!this->at_a.Saw("up b"));
}
