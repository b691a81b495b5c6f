#include "http/dynamic_thread_pool.h"

#include <utility>

namespace rosemarycove {

DynamicThreadPool::DynamicThreadPool(std::size_t max_threads)
    : max_threads(max_threads) {}

DynamicThreadPool::~DynamicThreadPool() { this->Shutdown(); }

void DynamicThreadPool::Run(std::function<void()> task) {
  const std::lock_guard lock(this->mutex);
  this->tasks.push_back(std::move(task));
  if (this->tasks.size() > this->idle &&
      this->threads.size() < this->max_threads) {
    this->threads.emplace_back([this] { this->RunTasks(); });
  }
  this->work_available.notify_one();
}

void DynamicThreadPool::Shutdown() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->work_available.notify_all();
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void DynamicThreadPool::RunTasks() {
  std::unique_lock lock(this->mutex);
  while (true) {
    ++this->idle;
    this->work_available.wait(
        lock, [this] { return this->stopping || !this->tasks.empty(); });
    --this->idle;
    if (this->tasks.empty()) {
      return;
    }
    std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace rosemarycove
