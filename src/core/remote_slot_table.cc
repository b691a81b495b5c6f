#include "core/remote_slot_table.h"

#include <limits>

namespace rosemarycove {

RequestId RemoteSlotTable::Add(RemoteSlot slot) {
  const RequestId local_id = this->next_local_id++;
  this->local_id_by_request[{slot.peer, slot.id}] = local_id;
  this->slots.emplace(local_id, std::move(slot));
  return local_id;
}

RemoteSlot* RemoteSlotTable::Find(RequestId local_id) {
  const auto found = this->slots.find(local_id);
  return found == this->slots.end() ? nullptr : &found->second;
}

std::optional<RequestId> RemoteSlotTable::FindLocalId(const std::string& peer,
                                                      RequestId id) const {
  const auto found = this->local_id_by_request.find({peer, id});
  if (found == this->local_id_by_request.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<RequestId> RemoteSlotTable::FindLocalIdOfSlotRequest(
    const std::string& peer, RequestId id,
    std::uint64_t slot_request_id) const {
  const auto local_id = this->FindLocalId(peer, id);
  return local_id &&
                 this->slots.at(*local_id).slot_request_id == slot_request_id
             ? local_id
             : std::nullopt;
}

void RemoteSlotTable::Remove(RequestId local_id) {
  const auto found = this->slots.find(local_id);
  if (found != this->slots.end()) {
    this->local_id_by_request.erase({found->second.peer, found->second.id});
    this->slots.erase(found);
  }
}

std::vector<RequestId> RemoteSlotTable::LocalIdsOfPeer(
    const std::string& peer) const {
  std::vector<RequestId> local_ids;
  for (auto item = this->local_id_by_request.lower_bound({peer, 0});
       item != this->local_id_by_request.end() && item->first.first == peer;
       ++item) {
    local_ids.push_back(item->second);
  }
  return local_ids;
}

}  // namespace rosemarycove
