#include "core/remote_request_table.h"

#include <limits>

namespace rosemarycove {

RequestId RemoteRequestTable::Add(RemoteRequest request) {
  const RequestId local_id = this->next_local_id++;
  this->local_id_by_request[{request.peer, request.id}] = local_id;
  this->requests.emplace(local_id, std::move(request));
  return local_id;
}

RemoteRequest* RemoteRequestTable::Find(RequestId local_id) {
  const auto found = this->requests.find(local_id);
  return found == this->requests.end() ? nullptr : &found->second;
}

std::optional<RequestId> RemoteRequestTable::FindLocalId(
    const std::string& peer, RequestId id) const {
  const auto found = this->local_id_by_request.find({peer, id});
  if (found == this->local_id_by_request.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<RequestId> RemoteRequestTable::FindLocalIdOfSlotRequest(
    const std::string& peer, RequestId id,
    std::uint64_t slot_request_id) const {
  const auto local_id = this->FindLocalId(peer, id);
  return local_id &&
                 this->requests.at(*local_id).slot_request_id == slot_request_id
             ? local_id
             : std::nullopt;
}

void RemoteRequestTable::Remove(RequestId local_id) {
  const auto found = this->requests.find(local_id);
  if (found != this->requests.end()) {
    this->local_id_by_request.erase({found->second.peer, found->second.id});
    this->requests.erase(found);
  }
}

std::vector<RequestId> RemoteRequestTable::LocalIdsOfPeer(
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
