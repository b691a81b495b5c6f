#include "core/server_availability.h"

#include <algorithm>

#include "core/prompt_cache_map.h"
#include "core/server_rate_limits.h"

namespace rosemarycove {
namespace {

// What lifetimes said that are not registered any more is dropped after this
// time. A store that comes back from a copy may list them again.
constexpr Duration kUnregisteredMemory = std::chrono::minutes(10);
// The instances begin to send again within this share of the pause after its
// end, at most this long.
constexpr double kSpreadShare = 0.25;
constexpr Duration kMaxSpread = std::chrono::milliseconds(500);
// While requests return, the same number may be sent again if no answer has
// arrived for this long.
constexpr Duration kAnswerPatience = std::chrono::milliseconds(500);
// Requests have returned once this many may be sent.
constexpr int kFullAllowance = 32;
// While requests return, the refusal of one keeps less urgent ones from the
// server for this long.
constexpr Duration kRefusalMemory = std::chrono::seconds(2);

}  // namespace

std::string_view ToString(AvailabilityChangeKind kind) {
  switch (kind) {
    case AvailabilityChangeKind::kLeaving:
      return "leaving";
    case AvailabilityChangeKind::kForgotten:
      return "forgotten";
    case AvailabilityChangeKind::kPaused:
      return "paused";
    case AvailabilityChangeKind::kReturning:
      return "returning";
    case AvailabilityChangeKind::kResumed:
      return "resumed";
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

ServerAvailability::State* ServerAvailability::FindPaused(
    const RegisteredServer& server) {
  if (this->states.empty()) {
    return nullptr;
  }
  const auto found =
      this->states.find(LifetimeHash(server.id, server.incarnation));
  return found == this->states.end() || !found->second.paused_until
             ? nullptr
             : &found->second;
}

void ServerAvailability::RecordPause(const RegisteredServer& server,
                                     Duration asked, TimePoint now) {
  State& state = this->StateOf(server, now);
  const Duration kept = std::min(asked, kMaxPause);
  const Duration spread =
      std::min(FromSeconds(kSpreadShare * ToSeconds(kept)), kMaxSpread);
  const double rank =
      UnitScore(LifetimeHash(server.id, server.incarnation), this->instance);
  const TimePoint end = now + kept + FromSeconds(rank * ToSeconds(spread));
  const bool was_paused = state.paused_until && now < *state.paused_until;
  state.paused_until = std::max(state.paused_until.value_or(end), end);
  state.is_returning = false;
  state.allowance = 1;
  state.sent = 0;
  if (!was_paused) {
    this->changes.push_back({.kind = AvailabilityChangeKind::kPaused,
                             .server = state.server,
                             .asked = asked,
                             .remaining = *state.paused_until - now});
  }
}

void ServerAvailability::RecordSend(const RegisteredServer& server,
                                    TimePoint now) {
  State* state = this->FindPaused(server);
  if (state == nullptr) {
    return;
  }
  if (state->sent == 0 || now - state->first_sent_at >= kAnswerPatience) {
    state->sent = 0;
    state->first_sent_at = now;
  }
  ++state->sent;
}

void ServerAvailability::RecordAnswer(const RegisteredServer& server,
                                      TimePoint sent_at, TimePoint now) {
  State* state = this->FindPaused(server);
  if (state == nullptr || now < *state->paused_until || state->sent == 0 ||
      sent_at < state->first_sent_at) {
    return;
  }
  state->allowance *= 2;
  state->sent = 0;
  if (state->allowance >= kFullAllowance) {
    state->paused_until.reset();
    this->changes.push_back(
        {.kind = AvailabilityChangeKind::kResumed, .server = state->server});
  }
}

void ServerAvailability::RecordRefusal(const RegisteredServer& server, int tier,
                                       TimePoint now) {
  State* state = this->FindPaused(server);
  if (state == nullptr) {
    return;
  }
  if (!state->refused_tier || tier <= *state->refused_tier ||
      now - state->refused_at > kRefusalMemory) {
    state->refused_tier = tier;
    state->refused_at = now;
  }
}

bool ServerAvailability::MaySend(const RegisteredServer& server, int tier,
                                 TimePoint now) const {
  const State* state = this->Find(server);
  if (state == nullptr || !state->paused_until) {
    return true;
  }
  if (now < *state->paused_until) {
    return false;
  }
  const bool was_more_urgent_refused =
      state->refused_tier && *state->refused_tier < tier &&
      now - state->refused_at <= kRefusalMemory;
  const bool has_room = state->sent < state->allowance ||
                        now - state->first_sent_at >= kAnswerPatience;
  return has_room && !was_more_urgent_refused;
}

bool ServerAvailability::IsPaused(const RegisteredServer& server,
                                  TimePoint now) const {
  const State* state = this->Find(server);
  return state != nullptr && state->paused_until && now < *state->paused_until;
}

Duration ServerAvailability::TimeToReturn(const RegisteredServer& server,
                                          TimePoint now) const {
  const State* state = this->Find(server);
  if (state == nullptr || !state->paused_until) {
    return {};
  }
  return now < *state->paused_until ? *state->paused_until - now
                                    : kAnswerPatience;
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
    if (state.is_registered && state.paused_until && !state.is_returning &&
        now >= *state.paused_until) {
      state.is_returning = true;
      this->changes.push_back(
          {.kind = AvailabilityChangeKind::kReturning, .server = state.server});
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

int ServerAvailability::paused_count(TimePoint now) const {
  return static_cast<int>(std::count_if(
      this->states.begin(), this->states.end(), [now](const auto& item) {
        const State& state = item.second;
        return state.is_registered && state.paused_until &&
               now < *state.paused_until;
      }));
}

}  // namespace rosemarycove
