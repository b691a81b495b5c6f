// A thread pool that creates its threads on demand.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rosemarycove {

// Runs tasks on up to `max_threads` threads. A thread is created when a task is
// queued and no idle thread is left for it; threads live until Shutdown.
class DynamicThreadPool {
 public:
  explicit DynamicThreadPool(std::size_t max_threads);
  ~DynamicThreadPool();
  DynamicThreadPool(const DynamicThreadPool&) = delete;
  DynamicThreadPool& operator=(const DynamicThreadPool&) = delete;

  // Queues a task; it waits while all threads are busy.
  void Run(std::function<void()> task);
  // Runs the queued tasks to completion and joins the threads.
  void Shutdown();

 private:
  void RunTasks();

  std::size_t max_threads;
  std::mutex mutex;
  std::condition_variable work_available;
  std::deque<std::function<void()>> tasks;
  std::vector<std::thread> threads;
  std::size_t idle = 0;
  bool stopping = false;
};

}  // namespace rosemarycove
