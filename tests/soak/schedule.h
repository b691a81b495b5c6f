// The series of faults and planned changes that a seed gives.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarycove::soak {

enum class EventKind : std::uint8_t {
  kTerminate,
  kReload,
  kConfigure,
  kDrainServer,
  kRemoveServer,
  // The events above are planned work, those below are faults.
  kKill,
  kPause,
  kStoreUnavailable,
  kStoreReset,
  kStoreForgets,
  kStoreRestored,
  kCutHang,
  kCutReset,
  kCutRefuse
};
constexpr int kPlannedKinds = 5;
constexpr int kEventKinds = 14;

struct Event {
  std::chrono::milliseconds at{};
  EventKind kind = EventKind::kTerminate;
  // The instance, or the server, counted among those that there are.
  int target = 0;
  // How long it lasts: the time until a restart, the length of a pause, of a
  // store's fault or a cut, or the new grace.
  std::chrono::milliseconds length{};
  // A cut concerns some servers only.
  bool is_partial = false;
};

// A third of the seeds have planned work only. Events come in series, also
// several at the same moment.
std::vector<Event> MakeSchedule(std::uint64_t seed,
                                std::chrono::milliseconds length,
                                int instances);
std::string Describe(const Event& event);

}  // namespace rosemarycove::soak
