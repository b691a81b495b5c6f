// A scripted session of one node on a virtual clock, recorded as text.
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
  // Response time of plain services.
  static constexpr Duration kServiceTime = std::chrono::milliseconds(5);

  Session(const ResourceSet& resources, const std::string& data_centre);

  // Schedules the arrival of a request; `tokens` is the length of its answer.
  void Arrive(Duration at, RequestArrived arrived, int tokens);
  // Schedules the disconnection of a request's caller.
  void DisconnectCaller(Duration at, RequestId id);
  // Schedules a crash of an engine: its running requests fail, and it accepts
  // no connections afterwards.
  void CrashBackend(Duration at, const std::string& backend);
  // From `at` on, all answers of a service are lost.
  void LoseAnswers(Duration at, const std::string& backend);
  // From `at` on, the store is unavailable for claims.
  void FailStore(Duration at);

  // Runs until all requests have ended. Returns the session with one line per
  // event.
  std::string Run();

 private:
  // A scheduled event of the script.
  struct Scripted {
    enum class Kind : std::uint8_t {
      kArrive,
      kDisconnectCaller,
      kCrash,
      kLoseAnswers,
      kFailStore,
      kEndServiceCall
    } kind = Kind::kArrive;
    RequestArrived arrived;
    int tokens = 0;
    std::string backend;
    AttemptId attempt = 0;
  };
  // An attempt that is running on an engine.
  struct Running {
    RequestId id = 0;
    AttemptId attempt = 0;
    std::string backend;
    int tokens = 0;
  };

  void Post(const Event& event);
  void Perform(const SendAttempt& action);
  void Perform(const CancelAttempt& action);
  void Perform(const ClaimKey& action);
  void Perform(const FinishRequest& action);
  void Perform(const PlacementDecision& action);
  void Perform(const SlotAccepted& /*action*/) {}
  void Perform(const SendToPeer& /*action*/) {}
  void RunScripted(const Scripted& what);
  void StepEngine(const std::string& name);
  void EndAttempt(const Running& running, AttemptResult result);
  void WriteLine(const std::string& line);

  Node node;
  TimePoint start;
  TimePoint now;
  std::multimap<TimePoint, Scripted> script;
  std::map<std::string, bench::VirtualEngine> engines;
  std::map<std::string, bool> is_down;
  std::map<std::string, bool> loses_answers;
  std::map<std::string, std::string> claims;
  std::map<bench::StreamId, Running> streams;
  std::unordered_map<RequestId, int> lengths;
  bench::StreamId next_stream = 1;
  bool store_failed = false;
  std::string text;
};

}  // namespace rosemarycove
