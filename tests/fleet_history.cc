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
                             .is_alive = false,
                             .deferred_events = {}});
  }
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    this->Restart(i);
  }
}

std::size_t FleetHistory::RandomBelow(std::size_t below) {
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
  if (!member.is_alive) {
    return;
  }
  if (member.is_paused) {
    member.deferred_events.push_back(event);
    return;
  }
  for (const Action& action : member.node->Handle(this->now, event)) {
    std::visit([&](const auto& what) { this->Check(index, what); }, action);
  }
}

void FleetHistory::Check(std::size_t member, const SendAttempt& action) {
  Request& request =
      this->open_requests.at({this->members[member].name, action.id});
  request.attempt = action.attempt;
  request.backend = action.backend;
  request.tokens = 0;
  if (++request.send_count > 1 && !request.repeatable) {
    this->AddViolation("a request that must not be repeated was sent twice");
  }
  this->CheckCapacity();
}

void FleetHistory::CheckCapacity() {
  if (this->faults.link_losses || this->faults.crashes || this->faults.pauses) {
    return;
  }
  std::map<std::string, int> running;
  for (const auto& [key, request] : this->open_requests) {
    running[request.backend] += request.attempt != 0 ? 1 : 0;
  }
  for (const Backend& backend : this->resources.backends) {
    if (running[backend.name] > backend.max_streams) {
      this->AddViolation(backend.name + " got more requests than its maximum");
    }
  }
}

void FleetHistory::Check(std::size_t member, const CancelAttempt& action) {
  this->open_requests.at({this->members[member].name, action.id}).attempt = 0;
}

void FleetHistory::Check(std::size_t member, const FinishRequest& action) {
  const Key key{this->members[member].name, action.id};
  if (!this->ended.insert(key).second) {
    this->AddViolation("a request got a second outcome");
    return;
  }
  const Request request = this->open_requests.at(key);
  this->open_requests.erase(key);
  if (action.outcome == Outcome::kRefused && request.send_count > 0) {
    this->AddViolation(
        "a request was refused after an engine may have executed it");
  }
}

void FleetHistory::Check(std::size_t /*member*/,
                         const PlacementDecision& action) {
  if (action.placement.waiting_above > 0 &&
      action.placement.dequeue_reason != DequeueReason::kGuaranteedShare) {
    this->AddViolation(
        "a request of a lower tier was placed while a higher tier waits");
  }
}

void FleetHistory::Check(std::size_t member, const SendToPeer& action) {
  const auto link = this->links.find({member, this->IndexOf(action.peer)});
  if (link != this->links.end()) {
    link->second.push_back(action.message);
  }
}

void FleetHistory::Arrive() {
  const std::size_t member = this->RandomBelow(this->members.size());
  if (!this->members[member].is_alive || this->members[member].is_paused) {
    return;
  }
  const RequestClass& item =
      this->resources
          .classes[this->RandomBelow(this->resources.classes.size())];
  const bool plain = item.name == "order";
  const RequestId id = this->next_id++;
  this->open_requests[{this->members[member].name, id}] = {
      .member = member,
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
    if (!queue.empty() && !this->members[link.second].is_paused) {
      filled.push_back(link);
    }
  }
  if (filled.empty()) {
    return;
  }
  const Link link = filled[this->RandomBelow(filled.size())];
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
  for (const auto& [key, request] : this->open_requests) {
    if (request.attempt != 0 && !this->members[request.member].is_paused) {
      running.push_back(key);
    }
  }
  if (running.empty()) {
    return;
  }
  const Key key = running[this->RandomBelow(running.size())];
  Request& request = this->open_requests.at(key);
  static constexpr AttemptResult kResults[] = {
      AttemptResult::kCompleted, AttemptResult::kCompleted,
      AttemptResult::kCompleted, AttemptResult::kNotSent,
      AttemptResult::kLost,      AttemptResult::kAnsweredError};
  const AttemptResult result =
      only_success ? AttemptResult::kCompleted
                   : kResults[this->RandomBelow(std::size(kResults))];
  if (result == AttemptResult::kNotSent) {
    --request.send_count;
  }
  const AttemptId attempt = request.attempt;
  request.attempt = 0;
  this->Post(request.member, AttemptEnded{.id = key.second,
                                          .attempt = attempt,
                                          .result = result,
                                          .tokens = request.tokens});
}

void FleetHistory::DisconnectCaller() {
  if (this->open_requests.empty()) {
    return;
  }
  auto chosen = this->open_requests.begin();
  std::advance(chosen, this->RandomBelow(this->open_requests.size()));
  this->Post(chosen->second.member,
             CallerDisconnected{.id = chosen->first.second});
}

void FleetHistory::Disconnect(std::size_t a, std::size_t b) {
  if (this->links.erase({a, b}) + this->links.erase({b, a}) > 0) {
    this->Post(a, PeerDown{.peer = this->members[b].name});
    this->Post(b, PeerDown{.peer = this->members[a].name});
  }
}

void FleetHistory::LoseLink() {
  const std::size_t a = this->RandomBelow(this->members.size());
  const std::size_t b = this->RandomBelow(this->members.size());
  if (a != b) {
    this->Disconnect(a, b);
  }
}

void FleetHistory::RestoreLink(std::size_t a, std::size_t b) {
  if (a == b || !this->members[a].is_alive || !this->members[b].is_alive ||
      this->members[a].is_paused || this->members[b].is_paused ||
      this->links.contains({a, b})) {
    return;
  }
  this->links[{a, b}];
  this->links[{b, a}];
  this->Post(a, PeerUp{.peer = this->members[b].name});
  this->Post(b, PeerUp{.peer = this->members[a].name});
}

void FleetHistory::RestoreRandomLink() {
  this->RestoreLink(this->RandomBelow(this->members.size()),
                    this->RandomBelow(this->members.size()));
}

void FleetHistory::CrashMember() {
  const std::size_t index = this->RandomBelow(this->members.size());
  Member& member = this->members[index];
  if (!member.is_alive) {
    return;
  }
  member.is_alive = false;
  member.is_paused = false;
  member.deferred_events.clear();
  // Its callers lose their connections, so its requests have no outcome.
  std::erase_if(this->open_requests,
                [&](const auto& item) { return item.second.member == index; });
  for (std::size_t other = 0; other < this->members.size(); ++other) {
    this->Disconnect(index, other);
  }
}

void FleetHistory::Restart(std::size_t index) {
  Member& member = this->members[index];
  if (member.is_alive) {
    return;
  }
  member.is_alive = true;
  member.node = std::make_unique<Node>(
      NodeOptions{.instance = member.name, .data_centre = "a"});
  this->Post(index,
             ResourcesChanged{.resources = std::make_shared<const ResourceSet>(
                                  this->resources)});
  for (std::size_t other = 0; other < this->members.size(); ++other) {
    this->RestoreLink(index, other);
  }
}

void FleetHistory::Pause() {
  const std::size_t index = this->RandomBelow(this->members.size());
  if (!this->members[index].is_alive || this->members[index].is_paused) {
    return;
  }
  this->members[index].is_paused = true;
  // The other nodes lose the link, because its heartbeats stop.
  for (std::size_t other = 0; other < this->members.size(); ++other) {
    this->Disconnect(index, other);
  }
}

void FleetHistory::Resume(std::size_t index) {
  Member& member = this->members[index];
  if (!member.is_paused) {
    return;
  }
  member.is_paused = false;
  // The deferred events are handled first, as by a process that continues after
  // a pause.
  const std::deque<Event> deferred_events =
      std::exchange(member.deferred_events, {});
  for (const Event& event : deferred_events) {
    this->Post(index, event);
  }
  for (std::size_t other = 0; other < this->members.size(); ++other) {
    this->RestoreLink(index, other);
  }
}

void FleetHistory::Advance(Duration time) {
  this->now += time;
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    this->Post(i, Tick{});
  }
}

void FleetHistory::Step() {
  const std::size_t what = this->RandomBelow(100);
  if (what < 30) {
    this->Arrive();
  } else if (what < 65) {
    this->Deliver();
  } else if (what < 80) {
    this->EndOne(false);
  } else if (what < 83) {
    this->DisconnectCaller();
  } else if (what < 92) {
    this->Advance(milliseconds(this->RandomBelow(200)));
  } else if (what < 94 && this->faults.link_losses) {
    this->LoseLink();
  } else if (what < 96 && this->faults.link_losses) {
    this->RestoreRandomLink();
  } else if (what < 97 && this->faults.crashes) {
    this->CrashMember();
  } else if (what < 98 && this->faults.crashes) {
    this->Restart(this->RandomBelow(this->members.size()));
  } else if (what < 99 && this->faults.pauses) {
    this->Pause();
  } else if (this->faults.pauses) {
    this->Resume(this->RandomBelow(this->members.size()));
  }
}

void FleetHistory::Settle() {
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    this->Resume(i);
    this->Restart(i);
  }
  for (std::size_t a = 0; a < this->members.size(); ++a) {
    for (std::size_t b = 0; b < a; ++b) {
      this->RestoreLink(a, b);
    }
  }
  for (int round = 0; round < kMaxSettleRounds && !this->open_requests.empty();
       ++round) {
    this->DeliverAll();
    this->EndOne(true);
    if (round % 5 == 0) {
      this->Advance(milliseconds(100));
    }
  }
  this->DeliverAll();
  if (!this->open_requests.empty()) {
    this->AddViolation(std::to_string(this->open_requests.size()) +
                       " requests did not end");
    return;
  }
  for (const Member& member : this->members) {
    const Scheduler& scheduler = member.node->scheduler();
    if (member.node->remote_request_count() > 0 ||
        scheduler.waiting_count() > 0) {
      this->AddViolation(member.name + " still has requests of other nodes");
    }
    for (std::size_t i = 0; i < scheduler.backend_count(); ++i) {
      if (scheduler.backend(static_cast<BackendIndex>(i)).own_running() != 0) {
        this->AddViolation(member.name + " still counts an occupied slot");
      }
    }
  }
}

}  // namespace rosemarycove
