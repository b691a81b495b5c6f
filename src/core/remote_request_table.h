// Requests of other instances that a Node schedules.
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

// A request of another instance that waits for a slot or holds one. A slot is
// the right to send one request to a backend server.
struct RemoteRequest {
  // The instance that received the request from its caller.
  std::string peer;
  // Id of the request at that instance.
  RequestId id = 0;
  // Id of the SlotRequest or SlotHeld message that it came with.
  std::uint64_t slot_request_id = 0;
  std::string class_name;
  std::string customer;
  std::string service;
  std::string model;
  // Index of the group of servers; see scheduler.h.
  std::uint32_t group = 0;
  int tier = 0;
  // When the request arrived at its instance.
  TimePoint arrival;
  // The granted backend server; nullopt while the request waits.
  std::optional<BackendIndex> backend;
};

// Gives requests of other instances local ids, distinct from the ids of the
// node's own requests. Owned by a Node.
class RemoteRequestTable {
 public:
  // The first local id of remote requests.
  static constexpr RequestId kFirstLocalId = RequestId{1} << 63U;
  static bool IsRemote(RequestId local_id) { return local_id >= kFirstLocalId; }

  // Adds a request and returns its local id. An earlier one with the same peer
  // and id must have been removed.
  RequestId Add(RemoteRequest request);
  // Returns the request with this local id, or null. Invalidated by Remove.
  RemoteRequest* Find(RequestId local_id);
  // Returns the local id of a peer's request, regardless of its slot request
  // id.
  [[nodiscard]] std::optional<RequestId> FindLocalId(const std::string& peer,
                                                     RequestId id) const;
  // Returns the local id of a peer's request if it has this slot request id.
  [[nodiscard]] std::optional<RequestId> FindLocalIdOfSlotRequest(
      const std::string& peer, RequestId id,
      std::uint64_t slot_request_id) const;
  void Remove(RequestId local_id);
  // Returns the local ids of all requests of a peer.
  [[nodiscard]] std::vector<RequestId> LocalIdsOfPeer(
      const std::string& peer) const;
  [[nodiscard]] std::size_t size() const { return this->requests.size(); }

 private:
  std::map<RequestId, RemoteRequest> requests;
  std::map<std::pair<std::string, RequestId>, RequestId> local_id_by_request;
  RequestId next_local_id = kFirstLocalId;
};

}  // namespace rosemarycove
