// Threads that are made as tasks come, up to a bound.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rosemarycove {

// Runs tasks on threads that are kept for the next task.
class DynamicThreadPool {
 public:
  explicit DynamicThreadPool(std::size_t max_threads);
  ~DynamicThreadPool();
  DynamicThreadPool(const DynamicThreadPool&) = delete;
  DynamicThreadPool& operator=(const DynamicThreadPool&) = delete;

  // Runs the task soon; it waits when all threads are busy.
  void Run(std::function<void()> task);
  // Finishes all tasks and ends the threads.
  void Shutdown();

 private:
  void Work();

  std::size_t bound;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> tasks;
  std::vector<std::thread> threads;
  std::size_t idle = 0;
  bool stopping = false;
};

}  // namespace rosemarycove
