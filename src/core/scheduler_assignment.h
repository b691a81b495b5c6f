// Which instance schedules a group of backend servers.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace rosemarycove {

// Chooses by rendezvous hash over the instances that can be reached, so that
// each change of the instances moves only the groups of those that changed.
class SchedulerAssignment {
 public:
  explicit SchedulerAssignment(std::string self);

  void AddPeer(const std::string& peer) { this->peers.insert(peer); }
  void RemovePeer(const std::string& peer) { this->peers.erase(peer); }
  // This instance is leaving: it schedules nothing while others are there.
  void set_leaving() { this->is_leaving = true; }

  // The instance that schedules the group of a pool.
  [[nodiscard]] std::string SchedulerOf(const std::string& pool,
                                        std::uint32_t group) const;
  [[nodiscard]] const std::string& self() const { return this->own_name; }

 private:
  std::string own_name;
  std::set<std::string> peers;
  bool is_leaving = false;
};

}  // namespace rosemarycove
