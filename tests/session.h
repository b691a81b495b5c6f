// A whole session of one node on a virtual clock, written down line by line.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/virtual_engine.h"
#include "core/node.h"

namespace rosemarycove {

// Runs scripted requests against virtual engines and plain services.
class Session {
 public:
  // Plain services answer after this time.
  static constexpr Duration kServiceTime = std::chrono::milliseconds(5);

  Session(const ResourceSet& resources, const std::string& data_centre);

  // One scripted request; tokens are the true length of its answer.
  void Arrive(Duration at, RequestArrived arrived, int tokens);
  // The caller of a request leaves.
  void Leave(Duration at, RequestId id);
  // An engine or service stops, losing what it runs, and takes no connection.
  void Crash(Duration at, const std::string& backend);
  // Every answer that a service gives from now on is lost.
  void LoseAnswers(Duration at, const std::string& backend);
  // Claims are refused from now on.
  void StoreOut(Duration at);

  // Runs until nothing is left; returns the session, one line an event.
  std::string Run();

 private:
  // Something that happens at a time.
  struct Scripted {
    enum class Kind : std::uint8_t {
      kArrive,
      kLeave,
      kCrash,
      kLoseAnswers,
      kStoreOut,
      kServiceEnd
    } kind = Kind::kArrive;
    RequestArrived arrived;
    int tokens = 0;
    std::string backend;
    AttemptId attempt = 0;
  };
  // An attempt that an engine runs.
  struct Running {
    RequestId id = 0;
    AttemptId attempt = 0;
    std::string backend;
    int tokens = 0;
  };

  void Post(const Event& event);
  void Do(const SendAttempt& action);
  void Do(const CancelAttempt& action);
  void Do(const ClaimKey& action);
  void Do(const FinishRequest& action);
  void Do(const PlacementDecision& action);
  void Do(const SlotAccepted& /*action*/) {}
  void Do(const SendToPeer& /*action*/) {}
  void Happen(const Scripted& what);
  void StepEngine(const std::string& name);
  void EndAttempt(const Running& running, AttemptResult result);
  void Write(const std::string& line);

  Node node;
  TimePoint start;
  TimePoint now;
  std::multimap<TimePoint, Scripted> script;
  std::map<std::string, bench::VirtualEngine> engines;
  std::map<std::string, bool> down;
  std::map<std::string, bool> loses_answers;
  std::map<std::string, std::string> claims;
  std::map<bench::StreamId, Running> streams;
  std::unordered_map<RequestId, int> lengths;
  bench::StreamId next_stream = 1;
  bool store_out = false;
  std::string text;
};

}  // namespace rosemarycove
