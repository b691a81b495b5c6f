// Reports between instances: their frames, and links over loopback.
#include <boost/asio/steady_timer.hpp>

#include "core/backend_directory.h"
#include "net/fleet_links.h"
#include "proxy/event_splitter.h"
#include "wire/fleet_codec.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

// Keeps what it is told.
class RecordingHost : public FleetHost {
 public:
  FleetReport MakeReport() override { return {.configuration_revision = 7}; }
  void AddMissingDocuments(const FleetPeer&, FleetReport&) override {}
  void OnReport(const FleetPeer& peer, const FleetReport&) override {
    this->heard.insert(peer.identity.instance);
  }
  void OnPeerStatusChange(const FleetPeer& peer, PeerStatus news) override {
    this->news.emplace_back(peer.identity.instance, news);
  }

  std::set<std::string> heard;
  std::vector<std::pair<std::string, PeerStatus>> news;
};

// One instance's links on a shared event loop.
struct Instance {
  Instance(boost::asio::io_context& io, const std::string& name,
           std::vector<std::string> seeds)
      : links(io,
              {.self = {.instance = name,
                        .address = "127.0.0.1:0",
                        .data_centre = "centre-" + name},
               .seeds = std::move(seeds)},
              host) {}

  RecordingHost host;
  FleetLinks links;
};

// Runs the loop, with a tick for each instance, until it holds; bounded.
template <typename Holds>
bool RunUntil(boost::asio::io_context& io, std::vector<Instance*> instances,
              Holds holds) {
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < std::chrono::seconds(10)) {
    if (holds()) {
      return true;
    }
    for (Instance* instance : instances) {
      instance->links.Tick(std::chrono::steady_clock::now());
    }
    boost::asio::steady_timer timer(io, std::chrono::milliseconds(20));
    timer.async_wait([&io](boost::system::error_code) { io.stop(); });
    io.restart();
    io.run();
  }
  return false;
}

}  // namespace

TEST_GROUP(FleetLinks){};

TEST(FleetLinks, ReportsKeepEveryField) {
  const FleetReport report{
      .identity = FleetIdentity{"a", "127.0.0.1:1", "north"},
      .leaving = true,
      .configuration_revision = 5,
      .directory_revision = 9,
      .directory_age = std::chrono::milliseconds(120),
      .shares = {{.server = 3,
                  .load = {.running = 1,
                           .unread_tokens = 2,
                           .held_tokens = 3,
                           .long_unread_tokens = 4,
                           .brittle_streams = 5}}},
      .divisions = {{.service = 4, .share = 0.25}},
      .neighbours = {"127.0.0.1:2"},
      .configuration =
          SharedDocument{
              .key = "c", .revision = 5, .value = std::string("\0x", 2)},
      .servers = {.since = 8,
                  .whole = true,
                  .documents = {{.key = "s", .revision = 9, .removed = true}}}};
  std::string bytes = EncodeFleetFrame(report) + "rest";
  const auto taken = DecodeFleetFrame(bytes);
  const FleetReport& read = **taken;
  CHECK(read.identity == report.identity);
  CHECK(read.leaving);
  CHECK_EQUAL(9U, read.directory_revision);
  CHECK(read.directory_age == report.directory_age);
  CHECK(read.shares.at(0).load == report.shares.at(0).load);
  DOUBLES_EQUAL(0.25, read.divisions.at(0).share, 0);
  CHECK(read.neighbours == report.neighbours);
  CHECK(read.configuration->value == report.configuration->value);
  CHECK_EQUAL(8U, read.servers.since);
  CHECK(read.servers.whole && read.servers.documents.at(0).removed);
  STRCMP_EQUAL("rest", bytes.c_str());
}

TEST(FleetLinks, SpoiltFramesAreRefused) {
  std::string bytes = EncodeFleetFrame({});
  bytes[bytes.size() / 2] = static_cast<char>(0x7f);
  bytes.replace(4, 4, "\xff\xff\xff\x7f");
  CHECK(!DecodeFleetFrame(bytes).has_value());
  std::string huge("\xff\xff\xff\xff....");
  CHECK(!DecodeFleetFrame(huge).has_value());
}

TEST(FleetLinks, InstancesFindEachOtherThroughOneSeedAndNoticeAnEnd) {
  boost::asio::io_context io;
  auto a = std::make_unique<Instance>(io, "a", std::vector<std::string>{});
  CHECK(!a->links.Start().has_value());
  const std::string seed = "127.0.0.1:" + std::to_string(a->links.port());
  Instance b(io, "b", {seed});
  Instance c(io, "c", {seed});
  for (Instance* instance : {&b, &c}) {
    CHECK(!instance->links.Start().has_value());
  }
  CHECK(RunUntil(io, {a.get(), &b, &c}, [&] {
    return b.host.heard.contains("c") && c.host.heard.contains("b") &&
           a->host.heard.size() == 2;
  }));
  CHECK_EQUAL(2, b.links.live_peer_count());
  a.reset();
  CHECK(RunUntil(io, {&b, &c}, [&] { return b.links.live_peer_count() == 1; }));
  CHECK(b.links.SilentDataCentres().empty());
}

TEST(FleetLinks, EventsAreSplitWhereverTheBytesAreCut) {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\nda";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter splitter;
    std::string whole = splitter.Take(stream.substr(0, cut));
    whole += splitter.Take(stream.substr(cut));
    STRCMP_EQUAL(stream.substr(0, stream.size() - 8).c_str(), whole.c_str());
    STRCMP_EQUAL("3", splitter.last_id().c_str());
    CHECK_EQUAL(3, splitter.events());
  }
}
