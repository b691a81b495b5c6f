#include "core/relay_selector.h"

#include <algorithm>
#include <utility>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// Peers of the own data centre may have this many more requests under way than
// others: links between data centres are slower and cost more.
constexpr int kRemoteAllowance = 3;
// Consecutive failures that eject a peer.
constexpr int kFailuresToEject = 2;
// Each ejection is twice as long as the previous one, up to the maximum.
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kMaxEjection = std::chrono::seconds(4);
constexpr int kMaxDoublings = 2;
// A test without a result no longer keeps others from being sent after this
// time.
constexpr Duration kTestTimeout = std::chrono::seconds(2);

}  // namespace

void RelaySelector::SetPeers(std::vector<RelayCandidate> peers) {
  this->candidates = std::move(peers);
  std::erase_if(this->states, [this](const auto& item) {
    return item.second.under_way == 0 &&
           std::none_of(this->candidates.begin(), this->candidates.end(),
                        [&](const RelayCandidate& candidate) {
                          return candidate.peer.instance == item.first;
                        });
  });
}

bool RelaySelector::IsEjected(const State& state, TimePoint now) const {
  if (state.ejection_count == 0) {
    return false;
  }
  return now < state.ejected_until ||
         (state.test_sent_at && now - *state.test_sent_at < kTestTimeout);
}

bool RelaySelector::IsEligible(const RelayCandidate& candidate,
                               const RelayQuery& query, TimePoint now) const {
  const RelayPeer& peer = candidate.peer;
  if (peer.address.empty() ||
      peer.configuration_version < query.min_configuration_version ||
      std::find(query.tried.begin(), query.tried.end(), peer.instance) !=
          query.tried.end() ||
      std::find(candidate.unreachable_services.begin(),
                candidate.unreachable_services.end(), IdHash(query.service)) !=
          candidate.unreachable_services.end()) {
    return false;
  }
  const auto found = this->states.find(peer.instance);
  return found == this->states.end() || !this->IsEjected(found->second, now);
}

int RelaySelector::UnderWay(const RelayPeer& peer) const {
  const auto found = this->states.find(peer.instance);
  return found == this->states.end() ? 0 : found->second.under_way;
}

const RelayPeer* RelaySelector::ChooseOfTwo(
    const std::vector<const RelayPeer*>& peers) {
  if (peers.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<std::size_t> index(0, peers.size() - 1);
  const RelayPeer* first = peers[index(this->random)];
  const RelayPeer* second = peers[index(this->random)];
  return this->UnderWay(*second) < this->UnderWay(*first) ? second : first;
}

std::optional<RelayPeer> RelaySelector::Choose(const RelayQuery& query,
                                               TimePoint now) {
  std::vector<const RelayPeer*> local;
  std::vector<const RelayPeer*> remote;
  for (const RelayCandidate& candidate : this->candidates) {
    if (this->IsEligible(candidate, query, now)) {
      (candidate.peer.data_centre == query.data_centre ? local : remote)
          .push_back(&candidate.peer);
    }
  }
  const RelayPeer* near = this->ChooseOfTwo(local);
  const RelayPeer* far = this->ChooseOfTwo(remote);
  if (near == nullptr && far == nullptr) {
    return std::nullopt;
  }
  if (near == nullptr || far == nullptr) {
    return near != nullptr ? *near : *far;
  }
  return this->UnderWay(*near) > this->UnderWay(*far) + kRemoteAllowance
             ? *far
             : *near;
}

bool RelaySelector::HasPeer(const RelayQuery& query, TimePoint now) const {
  return std::any_of(this->candidates.begin(), this->candidates.end(),
                     [&](const RelayCandidate& candidate) {
                       return this->IsEligible(candidate, query, now);
                     });
}

void RelaySelector::RecordSend(const std::string& instance, TimePoint now) {
  State& state = this->states[instance];
  ++state.under_way;
  if (state.ejection_count > 0 && now >= state.ejected_until) {
    state.test_sent_at = now;
  }
}

void RelaySelector::RecordEnd(const std::string& instance) {
  const auto found = this->states.find(instance);
  if (found != this->states.end() && found->second.under_way > 0) {
    --found->second.under_way;
  }
}

void RelaySelector::RecordResult(const std::string& instance, bool answered,
                                 TimePoint now) {
  State& state = this->states[instance];
  if (answered) {
    state = {.under_way = state.under_way};
    return;
  }
  ++state.consecutive_failures;
  const bool is_ejected = now < state.ejected_until;
  if (is_ejected || (state.consecutive_failures < kFailuresToEject &&
                     state.ejection_count == 0)) {
    return;
  }
  const int doublings = std::min(state.ejection_count, kMaxDoublings);
  state.ejected_until =
      now + std::min(kFirstEjection * (1 << doublings), kMaxEjection);
  ++state.ejection_count;
  state.test_sent_at.reset();
}

}  // namespace rosemarycove
