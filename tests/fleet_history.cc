#include "tests/fleet_history.h"

#include <algorithm>

namespace rosemarycove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMaxSettleRounds = 5000;

}  // namespace

FleetHistory::FleetHistory(ResourceSet set, int nodes, FleetFaults faults,
                           std::uint32_t seed)
    : random(seed),
      resources(std::move(set)),
      faults(faults),
      now(TimePoint{} + seconds(1000)) {
  for (int i = 0; i < nodes; ++i) {
    this->members.push_back({.name = "node-" + std::to_string(i),
                             .node = nullptr,
                             .alive = false,
                             .missed = {}});
  }
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    this->Restart(i);
  }
}

std::size_t FleetHistory::Draw(std::size_t below) {
  return std::uniform_int_distribution<std::size_t>(0, below - 1)(this->random);
}

std::size_t FleetHistory::IndexOf(const std::string& name) const {
  return static_cast<std::size_t>(
      std::find_if(this->members.begin(), this->members.end(),
                   [&](const Member& member) { return member.name == name; }) -
      this->members.begin());
}

void FleetHistory::Post(std::size_t index, const Event& event) {
  Member& member = this->members[index];
  if (!member.alive) {
    return;
  }
  if (member.paused) {
    member.missed.push_back(event);
    return;
  }
  for (const Action& action : member.node->Handle(this->now, event)) {
    std::visit([&](const auto& what) { this->Check(index, what); }, action);
  }
}

void FleetHistory::Check(std::size_t member, const SendAttempt& action) {
  Request& request = this->open.at({this->members[member].name, action.id});
  request.attempt = action.attempt;
  request.backend = action.backend;
  request.tokens = 0;
  if (++request.sendings > 1 && !request.repeatable) {
    this->Break("a call that may not be repeated was sent twice");
  }
  this->CheckEngines();
}

void FleetHistory::CheckEngines() {
  if (this->faults.cuts || this->faults.kills || this->faults.pauses) {
    return;
  }
  std::map<std::string, int> running;
  for (const auto& [key, request] : this->open) {
    running[request.backend] += request.attempt != 0 ? 1 : 0;
  }
  for (const Backend& backend : this->resources.backends) {
    if (running[backend.name] > backend.max_streams) {
      this->Break(backend.name + " was given more than it takes");
    }
  }
}

void FleetHistory::Check(std::size_t member, const CancelAttempt& action) {
  this->open.at({this->members[member].name, action.id}).attempt = 0;
}

void FleetHistory::Check(std::size_t member, const FinishRequest& action) {
  const Key key{this->members[member].name, action.id};
  if (!this->ended.insert(key).second) {
    this->Break("a second outcome");
    return;
  }
  const Request request = this->open.at(key);
  this->open.erase(key);
  if (action.outcome == Outcome::kRefused && request.sendings > 0) {
    this->Break("refused, although an engine saw it");
  }
}

void FleetHistory::Check(std::size_t /*member*/,
                         const PlacementDecision& action) {
  if (action.placement.waiting_above > 0 &&
      action.placement.dequeue_reason != DequeueReason::kGuaranteedShare) {
    this->Break("a lower tier was placed while a higher one waits");
  }
}

void FleetHistory::Check(std::size_t member, const SendToPeer& action) {
  const auto link = this->links.find({member, this->IndexOf(action.peer)});
  if (link != this->links.end()) {
    link->second.push_back(action.message);
  }
}

void FleetHistory::Arrive() {
  const std::size_t member = this->Draw(this->members.size());
  if (!this->members[member].alive || this->members[member].paused) {
    return;
  }
  const RequestClass& item =
      this->resources.classes[this->Draw(this->resources.classes.size())];
  const bool plain = item.name == "order";
  const RequestId id = this->next_id++;
  this->open[{this->members[member].name, id}] = {.member = member,
                                                  .class_name = item.name,
                                                  .repeatable = item.repeatable,
                                                  .backend = {}};
  this->Post(member, RequestArrived{.id = id,
                                    .customer = "alice",
                                    .class_name = item.name,
                                    .service = plain ? "orders" : "",
                                    .model = plain ? "" : "m",
                                    .prompt_tokens = 100});
}

void FleetHistory::Deliver() {
  std::vector<Link> filled;
  for (const auto& [link, queue] : this->links) {
    if (!queue.empty() && !this->members[link.second].paused) {
      filled.push_back(link);
    }
  }
  if (filled.empty()) {
    return;
  }
  const Link link = filled[this->Draw(filled.size())];
  const PeerMessage message = this->links[link].front();
  this->links[link].pop_front();
  this->Post(link.second,
             PeerMessageReceived{.peer = this->members[link.first].name,
                                 .message = message});
}

void FleetHistory::DeliverAll() {
  const auto waiting = [this] {
    return std::any_of(this->links.begin(), this->links.end(),
                       [](const auto& link) { return !link.second.empty(); });
  };
  while (waiting()) {
    this->Deliver();
  }
}

void FleetHistory::EndOne(bool only_success) {
  std::vector<Key> running;
  for (const auto& [key, request] : this->open) {
    if (request.attempt != 0 && !this->members[request.member].paused) {
      running.push_back(key);
    }
  }
  if (running.empty()) {
    return;
  }
  const Key key = running[this->Draw(running.size())];
  Request& request = this->open.at(key);
  static constexpr AttemptResult kResults[] = {
      AttemptResult::kCompleted, AttemptResult::kCompleted,
      AttemptResult::kCompleted, AttemptResult::kNotSent,
      AttemptResult::kLost,      AttemptResult::kAnsweredError};
  const AttemptResult result = only_success
                                   ? AttemptResult::kCompleted
                                   : kResults[this->Draw(std::size(kResults))];
  if (result == AttemptResult::kNotSent) {
    --request.sendings;
  }
  const AttemptId attempt = request.attempt;
  request.attempt = 0;
  this->Post(request.member, AttemptEnded{.id = key.second,
                                          .attempt = attempt,
                                          .result = result,
                                          .tokens = request.tokens});
}

void FleetHistory::Leave() {
  if (this->open.empty()) {
    return;
  }
  auto chosen = this->open.begin();
  std::advance(chosen, this->Draw(this->open.size()));
  this->Post(chosen->second.member,
             CallerDisconnected{.id = chosen->first.second});
}

void FleetHistory::Disconnect(std::size_t a, std::size_t b) {
  if (this->links.erase({a, b}) + this->links.erase({b, a}) > 0) {
    this->Post(a, PeerDown{.peer = this->members[b].name});
    this->Post(b, PeerDown{.peer = this->members[a].name});
  }
}

void FleetHistory::Cut() {
  const std::size_t a = this->Draw(this->members.size());
  const std::size_t b = this->Draw(this->members.size());
  if (a != b) {
    this->Disconnect(a, b);
  }
}

void FleetHistory::Heal(std::size_t a, std::size_t b) {
  if (a == b || !this->members[a].alive || !this->members[b].alive ||
      this->members[a].paused || this->members[b].paused ||
      this->links.contains({a, b})) {
    return;
  }
  this->links[{a, b}];
  this->links[{b, a}];
  this->Post(a, PeerUp{.peer = this->members[b].name});
  this->Post(b, PeerUp{.peer = this->members[a].name});
}

void FleetHistory::HealOne() {
  this->Heal(this->Draw(this->members.size()),
             this->Draw(this->members.size()));
}

void FleetHistory::Kill() {
  const std::size_t index = this->Draw(this->members.size());
  Member& member = this->members[index];
  if (!member.alive) {
    return;
  }
  member.alive = false;
  member.paused = false;
  member.missed.clear();
  // Its callers see their connections close.
  std::erase_if(this->open,
                [&](const auto& item) { return item.second.member == index; });
  for (std::size_t other = 0; other < this->members.size(); ++other) {
    this->Disconnect(index, other);
  }
}

void FleetHistory::Restart(std::size_t index) {
  Member& member = this->members[index];
  if (member.alive) {
    return;
  }
  member.alive = true;
  member.node = std::make_unique<Node>(
      NodeOptions{.instance = member.name, .data_centre = "a"});
  this->Post(index,
             ResourcesChanged{.resources = std::make_shared<const ResourceSet>(
                                  this->resources)});
  for (std::size_t other = 0; other < this->members.size(); ++other) {
    this->Heal(index, other);
  }
}

void FleetHistory::Pause() {
  const std::size_t index = this->Draw(this->members.size());
  if (!this->members[index].alive || this->members[index].paused) {
    return;
  }
  this->members[index].paused = true;
  // The others miss its heartbeats.
  for (std::size_t other = 0; other < this->members.size(); ++other) {
    this->Disconnect(index, other);
  }
}

void FleetHistory::Resume(std::size_t index) {
  Member& member = this->members[index];
  if (!member.paused) {
    return;
  }
  member.paused = false;
  // It acts first on what it missed, as though no time had passed.
  const std::deque<Event> missed = std::exchange(member.missed, {});
  for (const Event& event : missed) {
    this->Post(index, event);
  }
  for (std::size_t other = 0; other < this->members.size(); ++other) {
    this->Heal(index, other);
  }
}

void FleetHistory::Advance(Duration time) {
  this->now += time;
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    this->Post(i, Tick{});
  }
}

void FleetHistory::Step() {
  const std::size_t what = this->Draw(100);
  if (what < 30) {
    this->Arrive();
  } else if (what < 65) {
    this->Deliver();
  } else if (what < 80) {
    this->EndOne(false);
  } else if (what < 83) {
    this->Leave();
  } else if (what < 92) {
    this->Advance(milliseconds(this->Draw(200)));
  } else if (what < 94 && this->faults.cuts) {
    this->Cut();
  } else if (what < 96 && this->faults.cuts) {
    this->HealOne();
  } else if (what < 97 && this->faults.kills) {
    this->Kill();
  } else if (what < 98 && this->faults.kills) {
    this->Restart(this->Draw(this->members.size()));
  } else if (what < 99 && this->faults.pauses) {
    this->Pause();
  } else if (this->faults.pauses) {
    this->Resume(this->Draw(this->members.size()));
  }
}

void FleetHistory::Settle() {
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    this->Resume(i);
    this->Restart(i);
  }
  for (std::size_t a = 0; a < this->members.size(); ++a) {
    for (std::size_t b = 0; b < a; ++b) {
      this->Heal(a, b);
    }
  }
  for (int round = 0; round < kMaxSettleRounds && !this->open.empty();
       ++round) {
    this->DeliverAll();
    this->EndOne(true);
    if (round % 5 == 0) {
      this->Advance(milliseconds(100));
    }
  }
  this->DeliverAll();
  if (!this->open.empty()) {
    this->Break(std::to_string(this->open.size()) + " requests never ended");
    return;
  }
  for (const Member& member : this->members) {
    const Scheduler& scheduler = member.node->scheduler();
    if (member.node->remote_slot_count() > 0 || scheduler.waiting_count() > 0) {
      this->Break(member.name + " still holds places of others");
    }
    for (std::size_t i = 0; i < scheduler.backend_count(); ++i) {
      if (scheduler.backend(static_cast<BackendIndex>(i)).own_running() != 0) {
        this->Break(member.name + " still counts a slot in use");
      }
    }
  }
}

}  // namespace rosemarycove
