// Tests of the counts of usage, of the fleet's clock, and of their fields in
// reports.
#include <optional>
#include <string>

#include "core/fleet_clock.h"
#include "core/load_ledger.h"
#include "core/usage_ledger.h"
#include "core/usage_windows.h"
#include "wire/fleet_codec.h"

// Included last, since CppUTest defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::uint64_t TotalOf(const UsageLedger& ledger, std::int64_t window,
                      const std::string& customer) {
  std::uint64_t unnamed = 0;
  return ledger.Totals(window, unnamed)[customer];
}

}  // namespace

TEST_GROUP(UsageLedger){};

// Guards against requests that count twice since a report is repeated, late, or
// follows a restart of its sender.
TEST(UsageLedger, RepeatsChangeNothing) {
  UsageLedger sender("a", 1);
  UsageLedger receiver("b", 2);
  std::uint64_t told = 0;
  sender.Count("x", 7);
  const UsageUpdate first = sender.ChangesSince(told, seconds(1));
  sender.Count("x", 7);
  sender.Count("y", 8);
  const UsageUpdate second = sender.ChangesSince(told, seconds(2));
  // The name was told before.
  LONGS_EQUAL(1, second.customers.size());
  for (const UsageUpdate* update : {&first, &second, &second, &first}) {
    receiver.Merge("a", 1, *update);
  }
  LONGS_EQUAL(2, TotalOf(receiver, 7, "x"));
  LONGS_EQUAL(1, TotalOf(receiver, 8, "y"));
  CHECK(sender.ChangesSince(told, seconds(3)).counts.empty());
  // A new process of the same instance counts from 0.
  receiver.Merge("a", 3, first);
  receiver.Count("x", 7);
  LONGS_EQUAL(4, TotalOf(receiver, 7, "x"));
  receiver.DropThrough(7);
  receiver.Merge("a", 1, second);
  LONGS_EQUAL(0, TotalOf(receiver, 7, "x"));
  LONGS_EQUAL(1, TotalOf(receiver, 8, "y"));
}

// Guards against counts of a customer without a name that are dropped unseen.
TEST(UsageLedger, TellsRequestsWithoutAName) {
  UsageLedger ledger("a", 1);
  ledger.Merge("b", 2,
               {.counts = {{.customer_hash = 5, .window = 1, .requests = 3}}});
  std::uint64_t unnamed = 0;
  CHECK(ledger.Totals(1, unnamed).empty());
  LONGS_EQUAL(3, unnamed);
}

// Guards against a window that depends on one wrong clock, and against a time
// that goes back.
TEST(UsageLedger, ClockFollowsTheMedian) {
  TimePoint now{seconds(100)};
  FleetClock clock(seconds(1000), now);
  const auto tick = [&](Duration own, Duration peer_1, Duration peer_2) {
    clock.SetOwn(own, now);
    clock.SetPeer("b", peer_1, now);
    clock.SetPeer("c", peer_2, now);
    clock.Tick(now);
    return clock.WallTime(now);
  };
  CHECK(seconds(1000) == tick(seconds(1002), seconds(1000), seconds(1000)));
  CHECK(seconds(1000) == tick(seconds(1000), seconds(1002), seconds(998)));
  // Small differences change nothing.
  CHECK(seconds(1000) == tick(seconds(1000) + milliseconds(50),
                              seconds(1000) + milliseconds(50),
                              seconds(1000) + milliseconds(50)));
  CHECK(seconds(1002) == tick(seconds(1002), seconds(1002), seconds(1000)));
  // It waits rather than going back.
  CHECK(seconds(1002) == tick(seconds(1001), seconds(1001), seconds(1001)));
  // One of two doesn't outvote the other.
  now += seconds(10);
  clock.SetOwn(seconds(1011), now);
  clock.SetPeer("b", seconds(1013), now);
  clock.Tick(now);
  CHECK(seconds(1011) == clock.WallTime(now));
}

// Guards against a window that waits for an instance that has ended, and
// against a report of a window that may have been reported before.
TEST(UsageLedger, WindowsCloseWhenAllHaveToldTheirCounts) {
  const TimePoint now{seconds(1)};
  UsageWindows windows({});
  windows.OnPeer("a", 1, now);
  windows.OnPeer("b", 2, now);
  const std::int64_t window = windows.WindowAt(seconds(1003));
  const Duration end = windows.EndOf(window);
  CHECK(end == seconds(1005));
  windows.OnCounts("a", end);
  CHECK(!windows.MayClose(window, end + seconds(1)));
  windows.OnPeerGone("b");
  CHECK(windows.MayClose(window, end + seconds(1)));
  CHECK(!windows.MayClose(window, end - milliseconds(1)));
  // A new process has told nothing yet.
  windows.OnPeer("a", 3, now);
  CHECK(!windows.MayClose(window, end + milliseconds(5400)));
  CHECK(windows.MayClose(window, end + milliseconds(5500)));
  CHECK(!windows.MayHaveLostRecord(window));
  windows.NoteStoreRestored(end);
  CHECK(windows.MayHaveLostRecord(window));
  CHECK(!windows.MayHaveLostRecord(window + 1));
  // A number of a window that has not ended is wrong.
  windows.NoteReportedThrough(window + 100, end);
  CHECK(!windows.reported_through());
}

// Guards against fields that don't arrive, and against tokens that can't be.
TEST(UsageLedger, ReportsCarryTheDuties) {
  const DutyState sent{
      .process = 7,
      .wall_time = std::chrono::microseconds(1234567),
      .token = 9,
      .lease_age = milliseconds(30),
      .reported_through = -3,
      .usage = UsageUpdate{
          .complete_to = seconds(5),
          .customers = {"x"},
          .counts = {
              {.customer_hash = IdHash("x"), .window = 4, .requests = 2}}}};
  std::string frame = EncodeFleetFrame({.duties = sent});
  const auto decoded = DecodeFleetFrame(frame);
  CHECK(decoded && *decoded && (*decoded)->duties);
  const DutyState& state = *(*decoded)->duties;
  LONGS_EQUAL(7, state.process);
  CHECK(sent.wall_time == state.wall_time);
  LONGS_EQUAL(9, state.token);
  CHECK(sent.lease_age == state.lease_age);
  LONGS_EQUAL(-3, *state.reported_through);
  CHECK(seconds(5) == state.usage->complete_to);
  CHECK(sent.usage->customers == state.usage->customers);
  CHECK(sent.usage->counts == state.usage->counts);
  std::string without = EncodeFleetFrame({});
  CHECK(!(*DecodeFleetFrame(without))->duties);
  std::string wrong =
      EncodeFleetFrame({.duties = DutyState{.token = std::uint64_t{1} << 52U}});
  LONGS_EQUAL(0, (*DecodeFleetFrame(wrong))->duties->token);
}
