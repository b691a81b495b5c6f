// The scheduler's books on requests of other instances.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/scheduler.h"
#include "core/types.h"

namespace rosemarycove {

// A request of another instance that waits for a slot or holds one.
struct RemoteSlot {
  std::string peer;
  // The asking instance's number.
  RequestId id = 0;
  // Its number of the ask or hold that this slot belongs to.
  std::uint64_t slot_request_id = 0;
  std::string class_name;
  std::string customer;
  std::string service;
  std::string model;
  std::uint32_t group = 0;
  int tier = 0;
  // When its request arrived at the asking instance.
  TimePoint asked_at;
  // The backend server granted; none while it waits.
  std::optional<BackendIndex> backend;
};

// Gives requests of other instances local numbers, apart from the node's own.
class RemoteSlots {
 public:
  // Local numbers of remote requests start here.
  static constexpr RequestId kFirst = RequestId{1} << 63U;
  static bool IsRemote(RequestId local) { return local >= kFirst; }

  // Takes up a request; an earlier one of the same name must be gone.
  RequestId Add(RemoteSlot slot);
  // The slot by its local number, or null.
  RemoteSlot* Find(RequestId local);
  // The local number of a peer's request, whichever ask it came by.
  [[nodiscard]] std::optional<RequestId> LocalOf(const std::string& peer,
                                                 RequestId id) const;
  // The local number of a peer's request if it is of this ask.
  [[nodiscard]] std::optional<RequestId> LocalOfAsk(
      const std::string& peer, RequestId id,
      std::uint64_t slot_request_id) const;
  void Remove(RequestId local);
  // Local numbers of all requests of a peer.
  [[nodiscard]] std::vector<RequestId> OfPeer(const std::string& peer) const;
  [[nodiscard]] std::size_t size() const { return this->slots.size(); }

 private:
  std::map<RequestId, RemoteSlot> slots;
  std::map<std::pair<std::string, RequestId>, RequestId> local_by_name;
  RequestId next = kFirst;
};

}  // namespace rosemarycove
