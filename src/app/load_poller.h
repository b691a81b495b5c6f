// Polls backend servers for their load.
#pragma once

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "app/event_log.h"
#include "app/node_host.h"
#include "http/dynamic_thread_pool.h"

namespace rosemarycove {

// Polls the load of the backend servers whose slots this instance grants, and
// posts a LoadReported event for each valid response. A server that does not
// respond is logged once until it responds again.
class LoadPoller {
 public:
  // `period` is the time between two polls of the same server.
  LoadPoller(Duration period, NodeHost& host, EventLog& log);
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

 private:
  void Run();
  void Poll(const Backend& backend);
  void OnPolled(const std::string& backend, bool is_valid);

  Duration period;
  NodeHost& host;
  EventLog& log;
  DynamicThreadPool pool;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  // Names of the servers whose response is pending.
  std::set<std::string> in_flight;
  // Names of the servers whose last response failed.
  std::set<std::string> unresponsive;
  std::thread thread;
};

}  // namespace rosemarycove
