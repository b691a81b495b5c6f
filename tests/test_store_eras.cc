// Tests of what the directory keeps of what it knows when the store comes back
// from an older copy.
#include <string>
#include <vector>

#include "core/backend_directory.h"
#include "core/store_revision.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
// Longer than a server may be missing after the store's return.
constexpr Duration kGraceOver = milliseconds(2100);

std::uint64_t Revision(std::uint64_t era, std::uint64_t count) {
  return MakeRevision(era, count).value();
}

// Decodes values of the form STATE:INCARNATION.
class StateDecoder : public ServerDecoder {
 public:
  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const override {
    const std::size_t colon = document.value.find(':');
    if (colon == std::string::npos) {
      return tl::unexpected(std::string("no state"));
    }
    return RegisteredServer{
        .id = document.key,
        .incarnation = std::stoull(document.value.substr(colon + 1)),
        .service = "model",
        .is_draining = document.value.starts_with("draining")};
  }
};

SharedDocument Entry(const std::string& id, std::uint64_t revision,
                     const std::string& value = "ready:1") {
  return {.key = id, .revision = revision, .value = value};
}

// A directory with a clock, and what other instances get of it.
struct Instance {
  explicit Instance(std::uint64_t reader) : directory(decoder, reader) {}

  // Reads all servers from the store.
  void Read(const std::vector<SharedDocument>& documents,
            std::uint64_t revision, TimePoint now) {
    this->directory.Replace(documents, revision, now, now);
    this->directory.Tick(now);
  }
  void GetUpdateOf(const Instance& other, TimePoint now) {
    const BackendDirectory& from = other.directory;
    this->directory.ApplyUpdate(from.UpdateSince(this->directory.revision()),
                                from.revision(), from.last_read_id(),
                                from.read_at(), now);
    this->directory.Tick(now);
  }
  [[nodiscard]] bool Uses(const std::string& id) const {
    const RegisteredServer* server = this->directory.Find(id);
    return server != nullptr && !server->is_draining;
  }

  StateDecoder decoder;
  BackendDirectory directory;
};

}  // namespace

TEST_GROUP(StoreEras){};

TEST(StoreEras, RevisionsOfALaterEraAreHigher) {
  CHECK(Revision(1, 1) > Revision(0, kMaxRevisionCount));
  CHECK(Revision(kMaxStoreEra, 2) > Revision(kMaxStoreEra - 1, 3));
  CHECK_EQUAL(60U, Revision(0, 60));
  CHECK_EQUAL(3U, EraOf(Revision(3, 60)));
  CHECK_EQUAL(60U, CountOf(Revision(3, 60)));
  // No revision is none in any era.
  CHECK_EQUAL(0U, Revision(3, 0));
  CHECK(!MakeRevision(kMaxStoreEra + 1, 1));
  CHECK(!MakeRevision(0, kMaxRevisionCount + 1));
}

// Guards against entries being ignored whose revisions were given out before.
TEST(StoreEras, EntriesOfARestoredStoreReplaceThoseBefore) {
  Instance one(1);
  one.Read({Entry("a", 5), Entry("b", 90)}, 100, kStart);
  one.Read(
      {Entry("a", Revision(1, 5)), Entry("b", Revision(1, 12), "draining:1"),
       Entry("c", Revision(1, 13))},
      Revision(1, 13), kStart + seconds(1));
  CHECK(one.Uses("a"));
  CHECK(!one.Uses("b"));
  CHECK(one.Uses("c"));
}

// Guards against a server that drains getting requests since the copy is from
// before that.
TEST(StoreEras, ServerThatDrainedStillDoes) {
  Instance one(1);
  one.Read({Entry("a", 5)}, 90, kStart);
  one.Read({Entry("a", 95, "draining:1")}, 100, kStart + seconds(1));
  TimePoint now = kStart + seconds(2);
  one.Read({Entry("a", Revision(1, 5))}, Revision(1, 50), now);
  CHECK(!one.Uses("a"));
  CHECK(one.directory.Find("a") != nullptr);
  // A write of before the shutdown that the store executes late.
  one.Read({Entry("a", Revision(1, 51))}, Revision(1, 51), now);
  CHECK(!one.Uses("a"));
  // An instance that has not seen it drain learns that from this one.
  Instance two(2);
  two.GetUpdateOf(one, now);
  CHECK(!two.Uses("a"));
  // The store loses it once more.
  one.Read({Entry("a", Revision(2, 5))}, Revision(2, 50), now);
  CHECK(!one.Uses("a"));
  // Its next process is another one.
  one.Read({Entry("a", Revision(2, 52), "ready:2")}, Revision(2, 52), now);
  CHECK(one.Uses("a"));
}

// Guards against a server that is gone getting requests since the copy still
// has its entry.
TEST(StoreEras, ServerThatWasGoneIsUsedOnlyWhenItsEntryWasRenewed) {
  Instance one(1);
  one.Read({Entry("a", 5), Entry("b", 6)}, 90, kStart);
  one.Read({}, 100, kStart + seconds(1));
  TimePoint now = kStart + seconds(2);
  // The copy has both entries. Only b is still renewed.
  for (std::uint64_t i = 0; i < 18; ++i) {
    std::vector<SharedDocument> documents{Entry("b", Revision(1, 50 + i))};
    if (i < 8) {
      documents.push_back(Entry("a", Revision(1, 5)));
    }
    one.Read(documents, Revision(1, 50 + i), now);
    CHECK(!one.Uses("a"));
    CHECK(!one.Uses("b"));
    now += milliseconds(500);
  }
  for (std::uint64_t i = 18; i < 24; ++i) {
    one.Read({Entry("b", Revision(1, 50 + i))}, Revision(1, 50 + i), now);
    now += milliseconds(500);
  }
  CHECK(!one.Uses("a"));
  CHECK(one.Uses("b"));
}

// Guards against an entry counting as renewed when the store was away, so that
// it could not expire.
TEST(StoreEras, EntryIsNotRenewedByAnOutage) {
  Instance one(1);
  one.Read({Entry("a", 5)}, 90, kStart);
  one.Read({}, 100, kStart + seconds(1));
  one.Read({Entry("a", Revision(1, 5))}, Revision(1, 50), kStart + seconds(2));
  one.Read({Entry("a", Revision(1, 5))}, Revision(1, 51), kStart + seconds(20));
  CHECK(!one.Uses("a"));
  // It expires.
  one.Read({}, Revision(1, 52), kStart + seconds(22));
  // The process registers again.
  one.Read({Entry("a", Revision(1, 60))}, Revision(1, 60),
           kStart + seconds(23));
  CHECK(one.Uses("a"));
}

TEST(StoreEras, NextProcessOfAServerThatWasGoneIsUsedAtOnce) {
  Instance one(1);
  one.Read({Entry("a", 5)}, 90, kStart);
  one.Read({}, 100, kStart + seconds(1));
  one.Read({Entry("a", Revision(1, 51), "ready:2")}, Revision(1, 51),
           kStart + seconds(2));
  CHECK(one.Uses("a"));
}

// Guards against a process that ended counting as the current one since the
// copy is from before the restart.
TEST(StoreEras, RestartIsNotUndone) {
  Instance one(1);
  one.Read({Entry("a", 5, "ready:1")}, 90, kStart);
  one.Read({Entry("a", 95, "ready:2")}, 100, kStart + seconds(1));
  one.Read({Entry("a", Revision(1, 5), "ready:1")}, Revision(1, 50),
           kStart + seconds(2));
  CHECK_EQUAL(2U, one.directory.Find("a")->incarnation);
  // A process that was gone doesn't return instead of its successor either.
  one.Read({}, Revision(1, 51), kStart + milliseconds(4500));
  CHECK(!one.Uses("a"));
  one.Read({Entry("a", Revision(2, 5), "ready:1")}, Revision(2, 50),
           kStart + milliseconds(5500));
  CHECK(!one.Uses("a"));
}

// Guards against servers that registered within the lost seconds getting no
// requests until they have registered again, and against them never leaving.
TEST(StoreEras, ServerThatTheCopyLacksHasTimeToRegisterAgain) {
  Instance one(1);
  one.Read({Entry("a", 95), Entry("b", 96)}, 100, kStart);
  TimePoint now = kStart + seconds(1);
  one.Read({}, Revision(1, 50), now);
  CHECK(one.Uses("a"));
  CHECK(one.Uses("b"));
  now += seconds(1);
  one.Read({Entry("a", Revision(1, 55))}, Revision(1, 55), now);
  now += kGraceOver;
  one.Read({Entry("a", Revision(1, 55))}, Revision(1, 56), now);
  CHECK(one.Uses("a"));
  CHECK(!one.Uses("b"));
}

// Guards against an instance keeping forever what only it had read before the
// store lost it: the reader of the restored store doesn't know of it.
TEST(StoreEras, UpdateOfALaterEraIsComplete) {
  Instance reader(1);
  Instance other(2);
  reader.Read({Entry("a", 5)}, 90, kStart);
  other.Read({Entry("a", 5), Entry("b", 95)}, 100, kStart);
  TimePoint now = kStart + seconds(1);
  reader.Read({Entry("a", Revision(1, 5))}, Revision(1, 50), now);
  CHECK(reader.directory.UpdateSince(other.directory.revision()).is_snapshot);
  other.GetUpdateOf(reader, now);
  now += kGraceOver;
  reader.Read({Entry("a", Revision(1, 5))}, Revision(1, 51), now);
  other.GetUpdateOf(reader, now);
  CHECK(other.Uses("a"));
  POINTERS_EQUAL(nullptr, other.directory.Find("b"));
  CHECK_EQUAL(Revision(1, 51), other.directory.revision());
}

// Guards against an instance that was cut off bringing back what it knows of
// the store before its restoration.
TEST(StoreEras, InstanceOfAnEarlierEraChangesNothing) {
  Instance cut_off(1);
  Instance one(2);
  cut_off.Read({Entry("a", 95), Entry("b", 999)}, 1000, kStart);
  one.Read({Entry("a", Revision(1, 5), "draining:1")}, Revision(1, 50),
           kStart + seconds(1));
  one.GetUpdateOf(cut_off, kStart + seconds(2));
  CHECK(!one.Uses("a"));
  CHECK(!one.Uses("b"));
  CHECK_EQUAL(Revision(1, 50), one.directory.revision());
  cut_off.GetUpdateOf(one, kStart + seconds(2));
  CHECK(!cut_off.Uses("a"));
  CHECK_EQUAL(Revision(1, 50), cut_off.directory.revision());
}

// Guards against a response of before the restoration that arrives late adding
// servers, or counting as a fresh read.
TEST(StoreEras, LateReadOfAnEarlierEraIsIgnored) {
  Instance one(1);
  one.Read({Entry("a", Revision(1, 5))}, Revision(1, 50), kStart);
  one.Read({Entry("a", 95), Entry("b", 96)}, 100, kStart + seconds(1));
  CHECK(!one.Uses("b"));
  CHECK(one.directory.read_at() == kStart);
}
