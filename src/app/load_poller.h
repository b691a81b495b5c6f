// Asks backend servers for their load, over and over.
#pragma once

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "app/event_log.h"
#include "app/node_host.h"
#include "http/growing_pool.h"

namespace rosemarycove {

// Posts a LoadReported for each answer of a backend server. Only the servers
// whose slots this instance grants are asked.
class LoadPoller {
 public:
  // `period` is the time between two questions to the same server.
  LoadPoller(Duration period, NodeHost& host, EventLog& log);
  ~LoadPoller();
  LoadPoller(const LoadPoller&) = delete;
  LoadPoller& operator=(const LoadPoller&) = delete;

 private:
  void Run();
  void Ask(const Backend& backend);
  void NoteAnswer(const std::string& backend, bool answered);

  Duration period;
  NodeHost& host;
  EventLog& log;
  GrowingPool pool;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  std::set<std::string> asking;
  std::set<std::string> silent;
  std::thread thread;
};

}  // namespace rosemarycove
