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

// Gives requests of other instances local_id numbers, apart from the node's
// own.
class RemoteSlotTable {
 public:
  // Local numbers of remote requests start here.
  static constexpr RequestId kFirstLocalId = RequestId{1} << 63U;
  static bool IsRemote(RequestId local_id) { return local_id >= kFirstLocalId; }

  // Takes up a request; an earlier one of the same name must be gone.
  RequestId Add(RemoteSlot slot);
  // The slot by its local_id number, or null.
  RemoteSlot* Find(RequestId local_id);
  // The local_id number of a peer's request, whichever ask it came by.
  [[nodiscard]] std::optional<RequestId> FindLocalId(const std::string& peer,
                                                     RequestId id) const;
  // The local_id number of a peer's request if it is of this ask.
  [[nodiscard]] std::optional<RequestId> FindLocalIdOfSlotRequest(
      const std::string& peer, RequestId id,
      std::uint64_t slot_request_id) const;
  void Remove(RequestId local_id);
  // Local numbers of all requests of a peer.
  [[nodiscard]] std::vector<RequestId> LocalIdsOfPeer(
      const std::string& peer) const;
  [[nodiscard]] std::size_t size() const { return this->slots.size(); }

 private:
  std::map<RequestId, RemoteSlot> slots;
  std::map<std::pair<std::string, RequestId>, RequestId> local_id_by_request;
  RequestId next_local_id = kFirstLocalId;
};

}  // namespace rosemarycove
