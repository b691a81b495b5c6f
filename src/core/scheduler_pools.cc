// The part of Scheduler that divides the backend servers into pools and groups.
#include <algorithm>
#include <utility>

#include "core/scheduler.h"

namespace rosemarycove {
namespace {

// Maximum number of servers of this data centre in a group.
constexpr std::size_t kMaxGroupServers = 24;

}  // namespace

std::string Scheduler::PoolName(const std::string& service,
                                const std::string& model) {
  return service + '/' + model;
}

std::string Scheduler::GroupName(const std::string& service,
                                 const std::string& model,
                                 std::uint32_t group) {
  return PoolName(service, model) + '#' + std::to_string(group);
}

bool Scheduler::InPool(const Backend& backend, const std::string& service,
                       const std::string& model) const {
  if (backend.service != service) {
    return false;
  }
  return backend.models.empty() ||
         std::find(backend.models.begin(), backend.models.end(), model) !=
             backend.models.end();
}

void Scheduler::RebuildPools(const ResourceSet& resources) {
  for (auto& [name, pool] : this->pools) {
    for (const BackendIndex index : std::vector(pool.members())) {
      pool.RemoveMember(index);
      this->entry(index).pools.erase(name);
    }
  }
  for (const Service& service : resources.services) {
    std::vector<std::string> models = service.models;
    if (service.kind == ServiceKind::kPlain) {
      models = {""};
    }
    for (const std::string& model : models) {
      this->BuildGroups(service.name, model);
    }
  }
  for (auto& [name, pool] : this->pools) {
    pool.queue.SetClasses(resources.classes, resources.limits.max_waiting);
    this->UpdateRate(pool);
  }
  for (std::size_t i = 0; i < this->backends.size(); ++i) {
    this->UpdateOrder(static_cast<BackendIndex>(i));
  }
}

void Scheduler::BuildGroups(const std::string& service,
                            const std::string& model) {
  std::vector<BackendIndex> local;
  std::vector<BackendIndex> remote;
  for (std::size_t i = 0; i < this->backends.size(); ++i) {
    const BackendEntry& entry = this->backends[i];
    if (!entry.is_removed &&
        this->InPool(entry.state.backend(), service, model)) {
      (entry.is_remote ? remote : local)
          .push_back(static_cast<BackendIndex>(i));
    }
  }
  // Sorting by name makes the division the same at all instances, whatever the
  // order of the servers in their resources.
  std::sort(local.begin(), local.end(), [this](BackendIndex a, BackendIndex b) {
    return this->backend(a).backend().name < this->backend(b).backend().name;
  });
  const std::size_t groups = std::max<std::size_t>(
      1, (local.size() + kMaxGroupServers - 1) / kMaxGroupServers);
  this->group_counts[PoolName(service, model)] =
      static_cast<std::uint32_t>(groups);
  for (std::uint32_t group = 0; group < groups; ++group) {
    const std::string name = GroupName(service, model, group);
    BackendPool& pool = this->pools[name];
    const auto add = [&](BackendIndex index) {
      pool.AddMember(index);
      this->entry(index).pools.insert(name);
    };
    for (std::size_t i = group; i < local.size(); i += groups) {
      add(local[i]);
    }
    for (const BackendIndex index : remote) {
      add(index);
    }
  }
}

std::uint32_t Scheduler::GroupCount(const std::string& service,
                                    const std::string& model) const {
  const auto count = this->group_counts.find(PoolName(service, model));
  return count == this->group_counts.end() ? 1 : count->second;
}

std::optional<BackendIndex> Scheduler::Find(const std::string& backend) const {
  const auto found = this->backend_by_name.find(backend);
  if (found == this->backend_by_name.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<BackendIndex> Scheduler::NearestMembers(const std::string& service,
                                                    const std::string& model,
                                                    std::uint32_t group) const {
  const auto pool = this->pools.find(GroupName(service, model, group));
  if (pool == this->pools.end()) {
    return {};
  }
  std::vector<BackendIndex> local;
  for (const BackendIndex index : pool->second.members()) {
    if (!this->backends[static_cast<std::size_t>(index)].is_remote) {
      local.push_back(index);
    }
  }
  return local.empty() ? pool->second.members() : local;
}

void Scheduler::AdoptRunning(BackendIndex backend, TimePoint now) {
  this->entry(backend).state.AddRunning(now);
  this->UpdateOrder(backend);
}

void Scheduler::UpdateRate(BackendPool& pool) {
  double rate = 0;
  for (const BackendIndex index : pool.members()) {
    const BackendState& state = this->entry(index).state;
    const int batch = std::max(1, state.backend().max_streams / 2);
    rate += batch / state.TokenTime(batch);
  }
  pool.queue.SetRate(rate);
}

}  // namespace rosemarycove
