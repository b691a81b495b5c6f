#include "tests/soak/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>
#include <set>
#include <thread>
#include <utility>

namespace rosemarycove::soak {
namespace {

using platform::StoreFault;
using platform::StoreFront;
using std::chrono::milliseconds;

// How long a server that leaves goes on.
constexpr auto kServerLinger = milliseconds(8000);
// Within this time after SIGHUP, either grace may apply.
constexpr auto kReloadTime = milliseconds(500);
constexpr int kVersionsOfKey = 4;

}  // namespace

Fleet::Fleet(FleetOptions fleet_options, Promises& all_promises)
    : options(std::move(fleet_options)),
      promises(all_promises),
      random(this->options.seed + 1),
      log(this->options.folder / "soak.log"),
      links(this->options.folder, this->options.instances) {
  this->PutConfiguration();
  for (const char* service : {"orders", "stock", "model"}) {
    this->AddServer(service);
    this->AddServer(service);
  }
}

bool Fleet::Start() {
  const int count = this->options.instances;
  const int first_port = FindFreePorts(count * GatewayPorts::kCount);
  for (int i = 0; i < count; ++i) {
    InstanceLinks& own_links = this->links.at(static_cast<std::size_t>(i));
    this->instances.push_back(
        {.process = std::make_unique<GatewayProcess>(
             this->options.program, this->options.folder, fmt::format("g{}", i),
             GatewayPorts{.first = first_port + i * GatewayPorts::kCount},
             own_links.Environment()),
         .store_front = std::make_unique<StoreFront>(this->store),
         .grace = this->random.Between(1500, 8000)});
  }
  for (Instance& instance : this->instances) {
    this->WriteSettings(instance);
    this->StartProcess(instance);
  }
  const auto limit = Clock::now() + std::chrono::seconds(20);
  for (const Instance& instance : this->instances) {
    while (!instance.process->IsReady()) {
      if (Clock::now() > limit) {
        this->promises.Report(instance.process->name() + " is not ready");
        return false;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
  }
  return true;
}

std::vector<GatewayProcess*> Fleet::processes() const {
  std::vector<GatewayProcess*> all;
  for (const Instance& instance : this->instances) {
    all.push_back(instance.process.get());
  }
  return all;
}

void Fleet::Log(const std::string& text) {
  const std::chrono::duration<double> elapsed = Clock::now() - this->started_at;
  this->log << fmt::format("{:8.3f} s  {}\n", elapsed.count(), text)
            << std::flush;
}

std::size_t Fleet::NumberOf(const Instance& instance) const {
  return static_cast<std::size_t>(&instance - this->instances.data());
}

void Fleet::WriteSettings(const Instance& instance) const {
  std::vector<int> peer_ports;
  for (const Instance& other : this->instances) {
    peer_ports.push_back(other.process->peer_port());
  }
  instance.process->WriteSettings(instance.store_front->address(), peer_ports,
                                  instance.grace);
}

void Fleet::StartProcess(Instance& instance) {
  const auto round =
      static_cast<int>(this->NumberOf(instance)) + instance.start_count;
  const bool is_other = !this->options.other_program.empty() && round % 2 == 1;
  instance.process->SetProgram(is_other ? this->options.other_program
                                        : this->options.program);
  instance.process->Start();
  instance.is_alive = true;
  ++instance.start_count;
  instance.former_grace = instance.grace;
  instance.end_of_grace.reset();
  instance.paused_at.reset();
  this->promises.OnStart(instance.process->name());
  this->promises.OnDisturbance(instance.process->name());
  this->Log(instance.process->name() + " starts");
}

void Fleet::PutConfiguration() {
  ++this->version;
  const auto route = [](const char* path, const char* type, int timeout_ms,
                        const char* service, const char* resumable) {
    return fmt::format(
        R"({{"name":"{0}","hostname":"site.example","path_prefix":"/{0}/",)"
        R"("type":"{1}","timeout_ms":{2},"slo_ms":500,"priority":2,)"
        R"("service":"{3}","attempts":2,"public":false,"gap_target_ms":500,)"
        R"("resumable":{4}}})",
        path, type, timeout_ms, service, resumable);
  };
  std::string customers;
  for (int i = 0; i < 2; ++i) {
    std::string keys;
    for (int key = std::max(1, this->version - kVersionsOfKey + 1);
         key <= this->version; ++key) {
      keys += fmt::format("{}\"{}\"", keys.empty() ? "" : ",",
                          ApiKey(kCustomers[i], key));
    }
    customers +=
        fmt::format(R"({}{{"name":"{}","priority":{},"api_keys":[{}]}})",
                    i == 0 ? "" : ",", kCustomers[i], 1 + 2 * i, keys);
  }
  this->configuration = fmt::format(
      R"({{"version":{},"routes":[{},{},{},{}],"services":[)"
      R"({{"name":"orders","max_conns":64}},{{"name":"stock","max_conns":64}},)"
      R"({{"name":"model","max_conns":64,"engine":{{"slots":6,)"
      R"("kv_tokens":100000,"stride":4}}}}],)"
      R"("limits":{{"max_header_bytes":4096,"max_body_bytes":65536,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}},)"
      R"("tenants":[{}]}})",
      this->version, route("once", "unsafe", 2000, "orders", "false"),
      route("again", "safe", 2000, "stock", "false"),
      route("resume", "streaming", 5000, "model", "true"),
      route("stream", "streaming", 5000, "model", "false"), customers);
  this->store.Put("op/config", this->configuration);
  this->promises.OnConfiguration(this->version);
}

void Fleet::AddServer(const std::string& service) {
  const int number = ++this->server_count;
  this->servers.push_back(std::make_unique<SoakServer>(
      fmt::format("s{}", number), service,
      this->options.seed * 1000 + static_cast<unsigned>(number), this->links,
      this->promises));
  const SoakServer& server = *this->servers.back();
  for (const Instance& instance : this->instances) {
    if (instance.cut_until && instance.is_cut_off) {
      this->links.at(this->NumberOf(instance)).Add(server.port());
    }
  }
  this->store.Put("servers/" + server.id, server.Entry("ready"));
}

void Fleet::WriteAgain() {
  this->store.Put("op/config", this->configuration);
  for (const auto& server : this->servers) {
    if (!server->ends_at) {
      this->store.Put("servers/" + server->id, server->Entry("ready"));
    } else if (server->is_draining) {
      this->store.Put("servers/" + server->id, server->Entry("draining"));
    } else {
      this->store.Remove("servers/" + server->id);
    }
  }
}

void Fleet::Apply(const Event& event) {
  this->Log(Describe(event));
  const auto number = static_cast<std::size_t>(event.target);
  Instance& instance = this->instances.at(number);
  switch (event.kind) {
    case EventKind::kTerminate:
      return this->Terminate(instance, event.length);
    case EventKind::kReload:
      return this->Reload(instance, event.length);
    case EventKind::kConfigure:
      return this->PutConfiguration();
    case EventKind::kDrainServer:
      return this->ReplaceServer(event.target, true);
    case EventKind::kRemoveServer:
      return this->ReplaceServer(event.target, false);
    case EventKind::kKill:
      return this->Kill(instance, event.length);
    case EventKind::kPause:
      return this->Pause(instance, event.length);
    case EventKind::kStoreUnavailable:
      return this->DisturbStore(StoreFault::kUnavailable, event.length);
    case EventKind::kStoreReset:
      return this->DisturbStore(StoreFault::kReset, event.length);
    case EventKind::kStoreForgets:
      return this->DisturbStore(StoreFault::kHistoryGone, event.length);
    case EventKind::kStoreRestored:
      if (!this->restore_at) {
        this->store.SaveCopy();
        this->restore_at = Clock::now() + event.length;
      }
      return;
    case EventKind::kCutHang:
      return this->CutLinks(number, Cut::kHang, event.is_partial, event.length);
    case EventKind::kCutReset:
      return this->CutLinks(number, Cut::kReset, event.is_partial,
                            event.length);
    case EventKind::kCutRefuse:
      return this->CutLinks(number, Cut::kRefuseNew, event.is_partial,
                            event.length);
  }
}

void Fleet::Terminate(Instance& instance, Times restart_delay) {
  if (!instance.is_alive) {
    return;
  }
  instance.process->Signal(SIGTERM);
  if (instance.end_of_grace) {
    return;
  }
  const auto now = Clock::now();
  const bool is_settled = now > instance.reloaded_at + kReloadTime;
  const Times former = is_settled ? instance.grace : instance.former_grace;
  instance.end_of_grace = now + std::max(former, instance.grace);
  instance.restart_delay = restart_delay;
  this->promises.OnStop(instance.process->name(),
                        now + std::min(former, instance.grace));
}

void Fleet::Kill(Instance& instance, Times restart_delay) {
  if (!instance.is_alive) {
    return;
  }
  const std::string& name = instance.process->name();
  this->promises.OnKill(name);
  instance.process->Signal(SIGKILL);
  instance.process->Wait(milliseconds(2000));
  this->promises.OnKilled(name);
  instance.is_alive = false;
  instance.restart_at = Clock::now() + restart_delay;
}

void Fleet::Pause(Instance& instance, Times length) {
  if (instance.is_alive && !instance.paused_at) {
    instance.process->Signal(SIGSTOP);
    instance.paused_at = Clock::now();
    instance.paused_until = *instance.paused_at + length;
  }
}

void Fleet::Continue(Instance& instance) {
  if (!instance.paused_at) {
    return;
  }
  instance.process->Signal(SIGCONT);
  if (instance.end_of_grace) {
    *instance.end_of_grace += Clock::now() - *instance.paused_at;
  }
  instance.paused_at.reset();
  this->Log(instance.process->name() + " goes on");
}

void Fleet::Reload(Instance& instance, Times grace) {
  if (Clock::now() > instance.reloaded_at + kReloadTime) {
    instance.former_grace = instance.grace;
  }
  instance.grace = grace;
  instance.reloaded_at = Clock::now();
  this->WriteSettings(instance);
  if (instance.is_alive) {
    instance.process->Signal(SIGHUP);
  }
}

void Fleet::CutLinks(std::size_t number, Cut cut, bool is_partial,
                     Times length) {
  Instance& instance = this->instances.at(number);
  if (instance.cut_until) {
    return;
  }
  std::set<int> ports;
  for (const auto& server : this->servers) {
    if (!is_partial || this->random.OneIn(2)) {
      ports.insert(server->port());
    }
  }
  this->promises.OnCut(instance.process->name(), !is_partial);
  this->links.at(number).Set(cut, ports);
  if (cut == Cut::kReset) {
    for (const auto& server : this->servers) {
      if (ports.contains(server->port())) {
        server->ResetFrom(this->links.at(number).address());
      }
    }
  }
  instance.cut_until = Clock::now() + length;
  instance.is_cut_off = !is_partial;
}

void Fleet::Heal(Instance& instance) {
  if (instance.cut_until) {
    this->links.at(this->NumberOf(instance)).Set(Cut::kNone, {});
    this->promises.OnHealed(instance.process->name());
    instance.cut_until.reset();
    this->Log(instance.process->name() + " reaches the servers");
  }
}

void Fleet::ReplaceServer(int target, bool announces) {
  std::vector<SoakServer*> candidates;
  for (const auto& server : this->servers) {
    if (!server->ends_at) {
      candidates.push_back(server.get());
    }
  }
  SoakServer& server =
      *candidates[static_cast<std::size_t>(target) % candidates.size()];
  this->AddServer(server.service);
  server.is_draining = announces;
  server.ends_at = Clock::now() + kServerLinger;
  if (announces) {
    this->store.Put("servers/" + server.id, server.Entry("draining"));
  } else {
    this->store.Remove("servers/" + server.id);
  }
  this->promises.OnServerLeaves(server.id);
  this->Log(
      fmt::format("{} leaves, {} begins", server.id, this->servers.back()->id));
}

void Fleet::DisturbStore(StoreFault fault, Times length) {
  this->store.SetFault(fault);
  this->store_disturbed_until = Clock::now() + length;
}

void Fleet::Advance() {
  const auto now = Clock::now();
  this->AdvanceStore(now);
  if (this->options.has_silences && !this->is_ending) {
    this->AdvanceSilences(now);
  }
  if (this->options.has_refusals && !this->is_ending) {
    this->AdvanceRefusals(now);
  }
  for (Instance& instance : this->instances) {
    this->AdvanceInstance(instance, now);
  }
  for (auto item = this->servers.begin(); item != this->servers.end();) {
    if ((*item)->ends_at && now >= *(*item)->ends_at) {
      this->store.Remove("servers/" + (*item)->id);
      item = this->servers.erase(item);
    } else {
      ++item;
    }
  }
}

void Fleet::AdvanceStore(Clock::time_point now) {
  if (this->store_disturbed_until) {
    this->promises.OnStoreDisturbance();
    if (now >= *this->store_disturbed_until) {
      this->store.SetFault(StoreFault::kNone);
      this->store_disturbed_until.reset();
      this->Log("the store has no fault");
    }
  }
  if (this->restore_at && now >= *this->restore_at) {
    this->store.RestoreCopy();
    this->restore_at.reset();
    this->write_again_at = now + this->random.Between(100, 1500);
    this->Log("the store comes back from the copy");
  }
  if (this->write_again_at) {
    this->promises.OnStoreDisturbance();
    if (now >= *this->write_again_at) {
      this->WriteAgain();
      this->write_again_at.reset();
    }
  }
}

void Fleet::AdvanceSilences(Clock::time_point now) {
  if (now < this->next_silence_at) {
    return;
  }
  const int target =
      this->silence_random.Below(static_cast<int>(this->servers.size()));
  SoakServer& server = **std::next(this->servers.begin(), target);
  const Times length = this->silence_random.Between(800, 1500);
  server.FallSilent(length);
  this->next_silence_at = now + this->silence_random.Between(500, 3000);
  this->Log(fmt::format("{} is silent for {} ms", server.id, length.count()));
}

bool Fleet::ServesAnInstance() const {
  return std::any_of(this->instances.begin(), this->instances.end(),
                     [](const Instance& instance) {
                       return !instance.store_front->is_disturbed() &&
                              instance.is_alive && !instance.paused_at &&
                              !instance.end_of_grace;
                     });
}

void Fleet::AdvanceRefusals(Clock::time_point now) {
  constexpr std::array kFaults{StoreFault::kUnavailable, StoreFault::kReset,
                               StoreFault::kSilent};
  if (this->is_refusing) {
    if (this->ServesAnInstance()) {
      this->promises.OnStoreRefusal();
    } else {
      this->promises.OnStoreDisturbance();
    }
  }
  if (now < this->next_refusal_at) {
    return;
  }
  this->is_refusing = !this->is_refusing;
  if (!this->is_refusing) {
    for (const Instance& instance : this->instances) {
      instance.store_front->SetFault(StoreFault::kNone);
    }
    this->next_refusal_at = now + this->refusal_random.Between(1000, 4000);
    this->Log("the store serves all instances");
    return;
  }
  const int served = this->refusal_random.Below(this->options.instances);
  const StoreFault fault =
      kFaults[static_cast<std::size_t>(this->refusal_random.Below(3))];
  std::string names;
  for (int i = 0; i < this->options.instances; ++i) {
    if (i != served && !this->refusal_random.OneIn(3)) {
      const Instance& instance = this->instances[static_cast<std::size_t>(i)];
      instance.store_front->SetFault(fault);
      names += " " + instance.process->name();
    }
  }
  this->next_refusal_at = now + this->refusal_random.Between(2000, 12000);
  this->Log(fmt::format("the store turns away, fault {}:{}",
                        static_cast<int>(fault), names));
}

void Fleet::AdvanceInstance(Instance& instance, Clock::time_point now) {
  GatewayProcess& process = *instance.process;
  if (instance.cut_until && now >= *instance.cut_until) {
    this->Heal(instance);
  }
  if (!instance.is_alive) {
    this->promises.OnDisturbance(process.name());
    if (now >= instance.restart_at && !this->is_ending) {
      this->StartProcess(instance);
    }
    return;
  }
  if (instance.paused_at) {
    this->promises.OnDisturbance(process.name());
    if (now >= instance.paused_until) {
      this->Continue(instance);
    }
    return;
  }
  if (const auto status = process.Wait(milliseconds(0))) {
    this->OnEnd(instance, *status, now);
  } else if (instance.end_of_grace && now > *instance.end_of_grace) {
    this->promises.Report(process.name() + " outlasts its grace");
    this->Kill(instance, instance.restart_delay);
  }
}

bool Fleet::HasBegun(const Instance& instance) {
  return instance.process->LogLinesWith("\"event\":1001,").size() >=
         static_cast<std::size_t>(instance.start_count - instance.unborn_count);
}

void Fleet::OnEnd(Instance& instance, int status, Clock::time_point now) {
  constexpr int kCutOff = 7;
  GatewayProcess& process = *instance.process;
  this->Log(fmt::format("{} has ended with status {}", process.name(), status));
  const bool is_planned =
      instance.end_of_grace && (status == 0 || status == kCutOff);
  if ((status == -SIGTERM || status == -SIGHUP) && !HasBegun(instance)) {
    ++instance.unborn_count;
  } else if (!is_planned) {
    this->promises.Report(
        fmt::format("{} ended with status {}", process.name(), status));
  }
  instance.is_alive = false;
  instance.restart_at = now + instance.restart_delay;
}

void Fleet::StopAll() {
  this->is_ending = true;
  for (const Instance& instance : this->instances) {
    instance.store_front->SetFault(StoreFault::kNone);
  }
  this->store.SetFault(StoreFault::kNone);
  this->store_disturbed_until.reset();
  for (Instance& instance : this->instances) {
    this->Heal(instance);
    this->Continue(instance);
    this->Terminate(instance, {});
  }
}

bool Fleet::has_ended() const {
  return std::none_of(
      this->instances.begin(), this->instances.end(),
      [](const Instance& instance) { return instance.is_alive; });
}

void Fleet::CheckUsage(int callers) {
  constexpr int kMostMegabytes = 128;
  const int most_descriptors =
      64 + 2 * callers + 4 * this->options.instances + 64 * 3;
  for (const Instance& instance : this->instances) {
    if (!instance.is_alive) {
      continue;
    }
    const ProcessUsage usage = instance.process->Usage();
    this->Log(fmt::format("{} holds {} descriptors and {} MB",
                          instance.process->name(), usage.descriptors,
                          usage.memory_mb));
    if (usage.descriptors > most_descriptors ||
        usage.memory_mb > kMostMegabytes) {
      this->promises.Report(fmt::format("{} holds {} descriptors and {} MB",
                                        instance.process->name(),
                                        usage.descriptors, usage.memory_mb));
    }
  }
}

}  // namespace rosemarycove::soak
