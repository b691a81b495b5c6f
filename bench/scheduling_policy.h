// The interface of the scheduling policies that a virtual run compares.
#pragma once

#include <string>
#include <vector>

#include "core/actions.h"
#include "core/events.h"
#include "core/node.h"

namespace rosemarycove::bench {

// Handles events and returns actions, with the contract of Node::Handle. Each
// simulated instance of a run owns one.
class SchedulingPolicy {
 public:
  virtual ~SchedulingPolicy() = default;
  virtual std::vector<Action> Handle(TimePoint now, const Event& event) = 0;
  // Sets the number of tokens that the answer to a request will have. Called
  // before the request arrives; only the oracle uses it.
  virtual void SetAnswerLength(RequestId /*id*/, int /*answer_tokens*/) {}
};

// The policy of the core, as the gateway runs it.
class NodePolicy : public SchedulingPolicy {
 public:
  NodePolicy(const std::string& instance, const std::string& data_centre)
      : node(NodeOptions{.instance = instance, .data_centre = data_centre}) {}
  std::vector<Action> Handle(TimePoint now, const Event& event) override {
    return this->node.Handle(now, event);
  }

 private:
  Node node;
};

}  // namespace rosemarycove::bench
