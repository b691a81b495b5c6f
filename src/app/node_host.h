// Drives the core with real time, threads and connections.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

#include "app/claim_store.h"
#include "app/event_log.h"
#include "app/metrics.h"
#include "core/node.h"
#include "http/attempt_runner.h"
#include "http/client_pool.h"
#include "http/exchange.h"
#include "http/growing_pool.h"
#include "http/request_gate.h"

namespace rosemarycove {

// How a node's host is set up.
struct NodeHostOptions {
  // The instance's name among its peers.
  std::string instance;
  // Names this process: unlike the instance's name it changes with each start,
  // so that no request of an earlier process has the same name.
  std::string process;
  std::string data_centre;
  // Attempts that run at the same time.
  std::size_t max_attempts = 512;
  ClientPoolOptions clients;
};

// Takes a message for another instance; must not block.
using PeerSender =
    std::function<void(const std::string& peer, const PeerMessage& message)>;

// Feeds a Node with events from all threads, one at a time, and carries out
// the actions that it returns.
class NodeHost : public AttemptListener, public RequestGate {
 public:
  NodeHost(NodeHostOptions options, EventLog& log, Metrics& metrics,
           ClaimStore& claims);
  ~NodeHost() override;

  // Sets where messages to other instances go; before any peer is up.
  void set_peer_sender(PeerSender sender);
  // Gives the core one event and carries out what follows.
  void Post(const Event& event);

  RequestId NextRequestId() override { return this->next_request++; }
  void Submit(RequestArrived arrived,
              const std::shared_ptr<Exchange>& exchange) override;
  void CallerGone(RequestId id) override;

  void OnProgress(const AttemptProgress& progress) override;
  void OnEnded(const AttemptEnded& ended) override;

  [[nodiscard]] std::shared_ptr<const ResourceSet> resources() const override;
  [[nodiscard]] std::optional<std::string> CustomerByKeyHash(
      const std::string& hash) const override;
  [[nodiscard]] bool ready() const override;
  // Calls `look` with the node while nothing changes it.
  void Inspect(const std::function<void(const Node&)>& look) const;
  [[nodiscard]] bool draining() const;
  // Requests without an outcome.
  [[nodiscard]] std::size_t open_requests() const;

 private:
  void HandleLocked(const Event& event);
  void Do(const SendAttempt& action);
  void Do(const CancelAttempt& action);
  void Do(const ClaimKey& action);
  void Do(const FinishRequest& action);
  void Do(const DecisionMade& action);
  void Do(const SlotTaken& action);
  void Do(const SendToPeer& action);
  void RunTicks();

  NodeHostOptions options;
  EventLog& log;
  Metrics& metrics;
  ClaimStore& claims;
  ClientPool clients;
  AttemptRunner runner;
  std::atomic<RequestId> next_request = 1;
  mutable std::mutex mutex;
  Node node;
  std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges;
  std::unordered_map<std::string, std::string> customer_by_key;
  PeerSender peer_sender;
  GrowingPool attempts;
  GrowingPool claim_threads;
  std::atomic<bool> stopping = false;
  std::thread ticker;
};

}  // namespace rosemarycove
