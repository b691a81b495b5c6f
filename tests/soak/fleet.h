// Gateways, servers and the store, and what a schedule does to them.
#pragma once

#include <filesystem>
#include <fstream>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/standins/store_standin.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/links.h"
#include "tests/soak/promises.h"
#include "tests/soak/random.h"
#include "tests/soak/schedule.h"
#include "tests/soak/soak_server.h"

namespace rosemarycove::soak {

struct FleetOptions {
  std::uint64_t seed = 1;
  int instances = 3;
  std::filesystem::path program;
  // Another build, which runs side by side: each instance changes the build at
  // each start, and neighbours run different ones. Empty if there is none.
  std::filesystem::path other_program;
  // Servers fall silent for about a second and go on.
  bool has_silences = false;
  // The store turns some instances away.
  bool has_refusals = false;
  std::filesystem::path folder;
};

class Fleet {
 public:
  Fleet(FleetOptions options, Promises& promises);

  // Returns false if not all instances are ready in time.
  bool Start();
  void Apply(const Event& event);
  // Ends what has a time, and looks after the processes.
  void Advance();
  // Ends all disturbances and sends SIGTERM to all instances.
  void StopAll();
  [[nodiscard]] bool has_ended() const;
  // Reports instances that hold too much.
  void CheckUsage(int callers);
  [[nodiscard]] std::vector<GatewayProcess*> processes() const;
  void Log(const std::string& text);

 private:
  using Times = std::chrono::milliseconds;
  struct Instance {
    std::unique_ptr<GatewayProcess> process;
    std::unique_ptr<platform::StoreFront> store_front;
    bool is_alive = false;
    int start_count = 0;
    // Processes that ended before they handled signals.
    int unborn_count = 0;
    // Of the settings before and after the last SIGHUP. Which one applies to a
    // SIGTERM shortly after it is open.
    Times former_grace{};
    Times grace{};
    Clock::time_point reloaded_at;
    // After SIGTERM: the time at which it must have ended.
    std::optional<Clock::time_point> end_of_grace;
    std::optional<Clock::time_point> paused_at;
    Clock::time_point paused_until;
    Clock::time_point restart_at;
    Times restart_delay{};
    std::optional<Clock::time_point> cut_until;
    bool is_cut_off = false;
  };

  void StartProcess(Instance& instance);
  // Lets a server fall silent, or ends the silence of its own accord.
  void AdvanceSilences(Clock::time_point now);
  // Lets the store turn instances away, or serve them again.
  void AdvanceRefusals(Clock::time_point now);
  // Returns whether the store serves an instance that is not disturbed.
  [[nodiscard]] bool ServesAnInstance() const;
  void WriteSettings(const Instance& instance) const;
  void PutConfiguration();
  void AddServer(const std::string& service);
  // Writes again what the operator and the servers hold.
  void WriteAgain();

  void Terminate(Instance& instance, Times restart_delay);
  void Kill(Instance& instance, Times restart_delay);
  void Pause(Instance& instance, Times length);
  void Continue(Instance& instance);
  void Reload(Instance& instance, Times grace);
  void CutLinks(std::size_t number, Cut cut, bool is_partial, Times length);
  void Heal(Instance& instance);
  void ReplaceServer(int target, bool announces);
  void DisturbStore(platform::StoreFault fault, Times length);

  void AdvanceStore(Clock::time_point now);
  void AdvanceInstance(Instance& instance, Clock::time_point now);
  // Whether its process came so far that it handles signals.
  static bool HasBegun(const Instance& instance);
  void OnEnd(Instance& instance, int status, Clock::time_point now);
  [[nodiscard]] std::size_t NumberOf(const Instance& instance) const;

  FleetOptions options;
  Promises& promises;
  Random random;
  Clock::time_point started_at = Clock::now();
  std::ofstream log;
  Links links;
  platform::StoreStandin store;
  std::list<std::unique_ptr<SoakServer>> servers;
  std::vector<Instance> instances;
  int version = 0;
  int server_count = 0;
  bool is_ending = false;
  // With random numbers of their own, so that the other events of a seed stay
  // the same.
  Random silence_random{this->options.seed + 1'000'000};
  Random refusal_random{this->options.seed + 2'000'000};
  Clock::time_point next_silence_at = Clock::now();
  Clock::time_point next_refusal_at =
      Clock::now() + std::chrono::milliseconds(2000);
  bool is_refusing = false;
  std::string configuration;
  std::optional<Clock::time_point> store_disturbed_until;
  std::optional<Clock::time_point> restore_at;
  std::optional<Clock::time_point> write_again_at;
};

}  // namespace rosemarycove::soak
