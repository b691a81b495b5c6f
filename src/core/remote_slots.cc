#include "core/remote_slots.h"

#include <limits>

namespace rosemarycove {

RequestId RemoteSlots::Add(RemoteSlot slot) {
  const RequestId local = this->next++;
  this->local_by_name[{slot.peer, slot.id}] = local;
  this->slots.emplace(local, std::move(slot));
  return local;
}

RemoteSlot* RemoteSlots::Find(RequestId local) {
  const auto found = this->slots.find(local);
  return found == this->slots.end() ? nullptr : &found->second;
}

std::optional<RequestId> RemoteSlots::LocalOf(const std::string& peer,
                                              RequestId id) const {
  const auto found = this->local_by_name.find({peer, id});
  if (found == this->local_by_name.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<RequestId> RemoteSlots::LocalOfAsk(
    const std::string& peer, RequestId id,
    std::uint64_t slot_request_id) const {
  const auto local = this->LocalOf(peer, id);
  return local && this->slots.at(*local).slot_request_id == slot_request_id
             ? local
             : std::nullopt;
}

void RemoteSlots::Remove(RequestId local) {
  const auto found = this->slots.find(local);
  if (found != this->slots.end()) {
    this->local_by_name.erase({found->second.peer, found->second.id});
    this->slots.erase(found);
  }
}

std::vector<RequestId> RemoteSlots::OfPeer(const std::string& peer) const {
  std::vector<RequestId> locals;
  for (auto item = this->local_by_name.lower_bound({peer, 0});
       item != this->local_by_name.end() && item->first.first == peer; ++item) {
    locals.push_back(item->second);
  }
  return locals;
}

}  // namespace rosemarycove
