// What decides in a virtual run: the core, or a baseline to compare it with.
#pragma once

#include <string>
#include <vector>

#include "core/actions.h"
#include "core/events.h"
#include "core/node.h"

namespace rosemarycove::bench {

// Takes events and returns actions, as a Node does.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual std::vector<Action> Handle(TimePoint now, const Event& event) = 0;
  // Tells the true length of a request's answer before it arrives.
  virtual void Foretell(RequestId /*id*/, int /*tokens*/) {}
};

// The core itself.
class NodeDecider : public Decider {
 public:
  NodeDecider(const std::string& instance, const std::string& data_centre)
      : node(NodeOptions{.instance = instance, .data_centre = data_centre}) {}
  std::vector<Action> Handle(TimePoint now, const Event& event) override {
    return this->node.Handle(now, event);
  }

 private:
  Node node;
};

}  // namespace rosemarycove::bench
