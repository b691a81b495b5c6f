// Runs the core on real time, threads and connections.
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
#include "http/caller_api_host.h"
#include "http/client_pool.h"
#include "http/dynamic_thread_pool.h"
#include "http/pending_request.h"

namespace rosemarycove {

// Options of a node host.
struct NodeHostOptions {
  // The instance's name among its peers.
  std::string instance;
  // Changes with each start, so that request ids differ from those of earlier
  // processes of the instance.
  std::string process_name;
  std::string data_centre;
  // Limit on concurrent attempts.
  std::size_t max_attempts = 512;
  ClientPoolOptions clients;
};

// Sends a message to another instance. Called with the host's lock held; must
// not block.
using PeerSender =
    std::function<void(const std::string& peer, const PeerMessage& message)>;

// Passes events from all threads to a Node, one at a time, and executes the
// actions that the node returns. Thread-safe.
class NodeHost : public AttemptListener, public CallerApiHost {
 public:
  NodeHost(NodeHostOptions options, EventLog& log, Metrics& metrics,
           ClaimStore& claims);
  ~NodeHost() override;

  // Sets the sender of messages to other instances, before any peer is up. Null
  // discards the messages.
  void set_peer_sender(PeerSender sender);
  // Passes one event to the node and executes the resulting actions.
  void Post(const Event& event);

  RequestId NextRequestId() override { return this->next_request++; }
  void Submit(RequestArrived arrived,
              const std::shared_ptr<PendingRequest>& pending) override;
  void OnCallerDisconnected(RequestId id) override;

  void OnProgress(const AttemptProgress& progress) override;
  void OnEnded(const AttemptEnded& ended) override;

  [[nodiscard]] std::shared_ptr<const ResourceSet> resources() const override;
  [[nodiscard]] std::optional<std::string> FindCustomerByKeyHash(
      const std::string& hash) const override;
  [[nodiscard]] bool ready() const override;
  // Calls `inspect` with the node while the host's lock is held.
  void Inspect(const std::function<void(const Node&)>& inspect) const;
  [[nodiscard]] bool draining() const;
  // Number of requests that have no outcome yet.
  [[nodiscard]] std::size_t open_requests() const;

 private:
  void HandleLocked(const Event& event);
  void Execute(const SendAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const ClaimKey& action);
  void Execute(const FinishRequest& action);
  void Execute(const PlacementDecision& action);
  void Execute(const SlotAccepted& action);
  void Execute(const SendToPeer& action);
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
  std::unordered_map<RequestId, std::shared_ptr<PendingRequest>>
      pending_requests;
  std::unordered_map<std::string, std::string> customer_by_key_hash;
  PeerSender peer_sender;
  // Threads on which attempts run.
  DynamicThreadPool attempt_threads;
  // Threads that wait for the claim store.
  DynamicThreadPool claim_threads;
  std::atomic<bool> stopping = false;
  std::thread ticker;
};

}  // namespace rosemarycove
