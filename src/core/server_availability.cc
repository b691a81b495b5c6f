#include "core/server_availability.h"

#include <algorithm>

#include "core/server_rate_limits.h"

namespace rosemarycove {
namespace {

// What lifetimes said that are not registered any more is dropped after this
// time. A store that comes back from a copy may list them again.
constexpr Duration kUnregisteredMemory = std::chrono::minutes(10);

}  // namespace

std::string_view ToString(AvailabilityChangeKind kind) {
  switch (kind) {
    case AvailabilityChangeKind::kLeaving:
      return "leaving";
    case AvailabilityChangeKind::kForgotten:
      return "forgotten";
  }
  return "unknown";
}

ServerAvailability::State& ServerAvailability::StateOf(
    const RegisteredServer& server, TimePoint now) {
  const auto [found, is_new] =
      this->states.try_emplace(LifetimeHash(server.id, server.incarnation));
  State& state = found->second;
  if (is_new) {
    state.server = server.id;
    state.last_registered_at = now;
  }
  return state;
}

const ServerAvailability::State* ServerAvailability::Find(
    const RegisteredServer& server) const {
  if (this->states.empty()) {
    return nullptr;
  }
  const auto found =
      this->states.find(LifetimeHash(server.id, server.incarnation));
  return found == this->states.end() ? nullptr : &found->second;
}

void ServerAvailability::RecordLeaving(const RegisteredServer& server,
                                       TimePoint now) {
  State& state = this->StateOf(server, now);
  if (!state.leaving_since) {
    state.leaving_since = now;
    this->changes.push_back(
        {.kind = AvailabilityChangeKind::kLeaving, .server = state.server});
  }
}

bool ServerAvailability::IsLeaving(const RegisteredServer& server) const {
  const State* state = this->Find(server);
  return state != nullptr && state->leaving_since;
}

bool ServerAvailability::HasLeft(const RegisteredServer& server,
                                 TimePoint now) const {
  const State* state = this->Find(server);
  return state != nullptr && state->leaving_since &&
         now - *state->leaving_since > kLastResortTime;
}

void ServerAvailability::Tick(
    const std::map<std::string, RegisteredServer>& registered, TimePoint now) {
  for (auto item = this->states.begin(); item != this->states.end();) {
    State& state = item->second;
    const auto found = registered.find(state.server);
    state.is_registered =
        found != registered.end() &&
        LifetimeHash(found->first, found->second.incarnation) == item->first;
    if (state.is_registered) {
      state.last_registered_at = now;
    }
    if (now - state.last_registered_at <= kUnregisteredMemory) {
      ++item;
      continue;
    }
    if (state.leaving_since) {
      this->changes.push_back(
          {.kind = AvailabilityChangeKind::kForgotten, .server = state.server});
    }
    item = this->states.erase(item);
  }
}

int ServerAvailability::leaving_count() const {
  return static_cast<int>(std::count_if(
      this->states.begin(), this->states.end(), [](const auto& item) {
        return item.second.is_registered && item.second.leaving_since;
      }));
}

}  // namespace rosemarycove
