#include "tests/soak/schedule.h"

#include <fmt/format.h>

#include <array>

#include "tests/soak/random.h"

namespace rosemarycove::soak {
namespace {

using std::chrono::milliseconds;

struct KindOfEvent {
  const char* name = "";
  int least_ms = 0;
  int most_ms = 0;
};
constexpr std::array<KindOfEvent, kEventKinds> kKinds{{
    {.name = "SIGTERM", .least_ms = 0, .most_ms = 1500},
    {.name = "SIGHUP with grace", .least_ms = 1500, .most_ms = 8000},
    {.name = "configuration"},
    {.name = "server drains"},
    {.name = "server is removed"},
    {.name = "SIGKILL", .least_ms = 0, .most_ms = 1500},
    {.name = "SIGSTOP", .least_ms = 100, .most_ms = 2000},
    {.name = "store unavailable", .least_ms = 300, .most_ms = 4000},
    {.name = "store resets", .least_ms = 300, .most_ms = 4000},
    {.name = "store forgets", .least_ms = 300, .most_ms = 4000},
    {.name = "store restored", .least_ms = 200, .most_ms = 3000},
    {.name = "cut: hangs", .least_ms = 500, .most_ms = 8000},
    {.name = "cut: resets", .least_ms = 500, .most_ms = 8000},
    {.name = "cut: refuses new", .least_ms = 500, .most_ms = 8000},
}};

}  // namespace

std::vector<Event> MakeSchedule(std::uint64_t seed, milliseconds length,
                                int instances) {
  constexpr int kPlannedOneIn = 3;
  constexpr int kLongestSeries = 4;
  constexpr int kLongestStep = 300;
  constexpr int kPartialOneIn = 4;
  Random random(seed);
  const int kinds = seed % kPlannedOneIn == 0 ? kPlannedKinds : kEventKinds;
  std::vector<Event> events;
  milliseconds at(1000);
  while (at < length) {
    for (int left = 1 + random.Below(kLongestSeries); left > 0; --left) {
      // Half of all events are planned.
      const int kind = random.Below(random.OneIn(2) ? kPlannedKinds : kinds);
      const KindOfEvent& item = kKinds.at(static_cast<std::size_t>(kind));
      events.push_back({.at = at,
                        .kind = static_cast<EventKind>(kind),
                        .target = random.Below(instances),
                        .length = random.Between(item.least_ms, item.most_ms),
                        .is_partial = random.OneIn(kPartialOneIn)});
      at += random.OneIn(2) ? milliseconds(0) : random.Between(0, kLongestStep);
    }
    at += random.Between(50, 2500);
  }
  return events;
}

std::string Describe(const Event& event) {
  return fmt::format("{:6} ms  {}, target {}, {} ms{}", event.at.count(),
                     kKinds.at(static_cast<std::size_t>(event.kind)).name,
                     event.target, event.length.count(),
                     event.is_partial ? ", some servers" : "");
}

}  // namespace rosemarycove::soak
