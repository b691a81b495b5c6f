// Assignment of groups of backend servers to the instances that schedule them.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace rosemarycove {

// Assigns each group of a pool to one of the reachable instances by rendezvous
// hashing, so that a change moves only the groups of the instances that were
// added or removed. Owned by a Node.
class SchedulerAssignment {
 public:
  explicit SchedulerAssignment(std::string self);

  void AddPeer(const std::string& peer) { this->peers.insert(peer); }
  void RemovePeer(const std::string& peer) { this->peers.erase(peer); }
  // Records that this instance is shutting down: it schedules no group while it
  // has peers.
  void set_draining() { this->is_draining = true; }

  // Returns the instance that schedules a group, by the index of the group.
  [[nodiscard]] std::string SchedulerOf(const std::string& pool,
                                        std::uint32_t group) const;
  [[nodiscard]] const std::string& self() const { return this->own_name; }

 private:
  std::string own_name;
  std::set<std::string> peers;
  bool is_draining = false;
};

}  // namespace rosemarycove
