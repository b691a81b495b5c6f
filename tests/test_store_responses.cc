// Tests of the feeds and the store's client when the store comes back from an
// older copy.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <deque>
#include <string>
#include <vector>

#include "core/store_revision.h"
#include "net/clock.h"
#include "platform/standins/raw_server.h"
#include "platform/store_client.h"
#include "proxy/endpoint.h"
#include "store/document_feed.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

std::uint64_t Revision(std::uint64_t era, std::uint64_t count) {
  return MakeRevision(era, count).value();
}

// Keeps each call pending until the test responds to it.
class PendingStore : public DocumentStore {
 public:
  void ReadAll(Done done) override {
    ++this->read_all_calls;
    this->pending = std::move(done);
  }
  void ReadChanges(std::uint64_t, Duration, Done done) override {
    ++this->read_changes_calls;
    this->pending = std::move(done);
  }
  [[nodiscard]] bool is_busy() const override {
    return this->pending != nullptr;
  }
  void Cancel() override { this->pending = nullptr; }
  void Tick(TimePoint) override {}
  void Respond(std::uint64_t revision) {
    const Done done = std::exchange(this->pending, nullptr);
    done(ReadResult{.as_of_revision = revision});
  }

  int read_all_calls = 0;
  int read_changes_calls = 0;

 private:
  Done pending;
};

class LastRead : public FeedListener {
 public:
  void OnRead(const ReadResult& result, bool, TimePoint) override {
    this->revision = result.as_of_revision;
  }
  void OnStoreUnavailable(const std::string&) override {
    ++this->unavailable_count;
  }
  void OnStoreAvailable(Duration) override {}

  std::uint64_t revision = 0;
  int unavailable_count = 0;
};

// A store that sends these responses, and a client of it.
class ScriptedStore {
 public:
  explicit ScriptedStore(std::deque<std::string> script)
      : responses(std::move(script)) {}

  tl::expected<ReadResult, ReadError> ReadAll() {
    tl::expected<ReadResult, ReadError> outcome;
    this->client.ReadAll([&](auto result) { outcome = std::move(result); });
    this->Run();
    return outcome;
  }
  tl::expected<ReadResult, ReadError> ReadChanges(std::uint64_t revision) {
    tl::expected<ReadResult, ReadError> outcome;
    this->client.ReadChanges(revision, milliseconds(10),
                             [&](auto result) { outcome = std::move(result); });
    this->Run();
    return outcome;
  }

  std::vector<std::string> requests;

 private:
  void Run() {
    while (this->client.is_busy()) {
      this->io.restart();
      this->io.run_for(milliseconds(5));
    }
  }
  void Serve(RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      this->requests.push_back(*request);
      const std::string response = this->responses.front();
      this->responses.pop_front();
      connection.Send(response);
    }
  }

  std::deque<std::string> responses;
  RawServer server{
      [this](RawConnection& connection) { this->Serve(connection); }};
  boost::asio::io_context io;
  StoreClient client{
      io,
      {.endpoint = *ParseTcpEndpoint(server.address()), .prefix = "servers/"}};
};

std::string Response(const std::string& era_field, const std::string& body,
                     int status = 200) {
  return fmt::format(
      "HTTP/1.1 {} X\r\n{}Content-Type: application/json\r\n"
      "Content-Length: {}\r\n\r\n{}",
      status, era_field, body.size(), body);
}

// A page with one entry of this revision.
std::string Page(const std::string& as_of, const std::string& revision = "7",
                 bool has_more = false) {
  return fmt::format(
      R"({{"entries":[{{"key":"servers/a","value":"YQ==","rev":{}}}],)"
      R"("more_pages":{},"as_of":{}}})",
      revision, has_more, as_of);
}

}  // namespace

TEST_GROUP(StoreResponses){};

// Guards against a feed that waits for revisions which are given out only after
// many more changes.
TEST(StoreResponses, FeedReadsAllWhenAnotherSourceHasSeenARestoration) {
  PendingStore store;
  LastRead listener;
  DocumentFeed feed({}, store, listener);
  feed.NoteEra(0);
  feed.Tick(kStart, {}, {});
  store.Respond(100);
  feed.Tick(kStart, {}, {});
  CHECK_EQUAL(1, store.read_changes_calls);
  feed.NoteEra(0);
  CHECK(store.is_busy());
  feed.NoteEra(1);
  feed.Tick(kStart, {}, {});
  CHECK_EQUAL(2, store.read_all_calls);
  store.Respond(Revision(1, 50));
  CHECK_EQUAL(Revision(1, 50), listener.revision);
  // From here on, the feed waits for changes again.
  feed.NoteEra(1);
  feed.Tick(kStart, {}, {});
  CHECK_EQUAL(2, store.read_changes_calls);
}

// Guards against a part of the store that still has the old state being taken
// for the restored store.
TEST(StoreResponses, FeedFailsOnResponsesOfAnEarlierEra) {
  PendingStore store;
  LastRead listener;
  DocumentFeed feed({.always_read_all = true}, store, listener);
  feed.Tick(kStart, {}, {});
  feed.AdvanceTo(Revision(1, 50));
  store.Respond(100);
  CHECK_EQUAL(0U, listener.revision);
  CHECK_EQUAL(1, listener.unavailable_count);
  const TimePoint later = MonotonicNow() + seconds(2);
  feed.Tick(later, {}, {});
  CHECK_EQUAL(2, store.read_all_calls);
  store.Respond(Revision(1, 51));
  CHECK_EQUAL(Revision(1, 51), listener.revision);
}

TEST(StoreResponses, ClientAddsTheEraToRevisions) {
  ScriptedStore store(
      {Response("store-era: 2\r\n", Page("60")), Response("", Page("60")),
       Response("Store-Era: 2\r\n", R"({"events":[{"key":"servers/a","rev":61,)"
                                    R"("removed":true}],"as_of":61})")});
  auto result = store.ReadAll();
  CHECK_EQUAL(Revision(2, 60), result->as_of_revision);
  CHECK_EQUAL(Revision(2, 7), result->documents.at(0).revision);
  // A store that has no eras.
  result = store.ReadAll();
  CHECK_EQUAL(60U, result->as_of_revision);
  CHECK_EQUAL(7U, result->documents.at(0).revision);
  // The store is asked with its own number.
  result = store.ReadChanges(Revision(2, 60));
  CHECK(store.requests.back().find("&after=60&") != std::string::npos);
  CHECK_EQUAL(Revision(2, 61), result->as_of_revision);
  CHECK_EQUAL(Revision(2, 61), result->documents.at(0).revision);
}

// Guards against changes being taken for those that follow the known ones
// though the store has lost some of these and gave out their revisions again.
TEST(StoreResponses, ChangesOfALaterEraRequireAFullRead) {
  const std::string changes = R"({"events":[],"as_of":70})";
  ScriptedStore store({Response("Store-Era: 1\r\n", changes),
                       Response("Store-Era: 1\r\n", "{}", 410)});
  auto result = store.ReadChanges(60);
  CHECK(!result && result.error().kind == ReadErrorKind::kHistoryGone);
  result = store.ReadChanges(60);
  CHECK(!result && result.error().kind == ReadErrorKind::kHistoryGone);
}

// Guards against pages of before and after the restoration being taken for one
// state.
TEST(StoreResponses, PagesOfTwoErasRequireAnotherRead) {
  ScriptedStore store({Response("", Page("60", "7", true)),
                       Response("Store-Era: 1\r\n", Page("50"))});
  const auto result = store.ReadAll();
  CHECK(!result && result.error().kind == ReadErrorKind::kHistoryGone);
}

TEST(StoreResponses, UnusableErasAndRevisionsAreFailures) {
  for (const std::string era :
       {"", "x", "-1", "1.5", "1 2", "4096", "18446744073709551616"}) {
    ScriptedStore store({Response("Store-Era: " + era + "\r\n", Page("60"))});
    const auto result = store.ReadAll();
    CHECK(!result && result.error().kind == ReadErrorKind::kUnavailable);
    CHECK(result.error().message.find("era '" + era) != std::string::npos);
  }
  ScriptedStore store(
      {Response("Store-Era: 4095\r\n", Page("4503599627370495")),
       Response("", Page("4503599627370496")),
       Response("", Page("60", "4503599627370496"))});
  CHECK(store.ReadAll().has_value());
  const auto result = store.ReadAll();
  CHECK(!result && result.error().kind == ReadErrorKind::kUnavailable);
  // An entry without a usable revision is omitted.
  const auto page = store.ReadAll();
  CHECK(page.has_value());
  CHECK(page->documents.empty());
}
