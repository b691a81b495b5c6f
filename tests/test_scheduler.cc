#include "core/scheduler.h"
#include "tests/resource_fixtures.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Scheduler) {
  Scheduler scheduler{"a"};
  TimePoint now = TimePoint{} + seconds(1000);
  RequestId next_id = 1;

  void setup() override {
    this->scheduler.SetResources(MakeResources(2), this->now);
  }

  RequestId Add(const std::string& class_name,
                const std::string& customer = "alice") {
    const RequestId id = this->next_id++;
    this->scheduler.Enqueue({.id = id,
                             .class_name = class_name,
                             .customer = customer,
                             .service = "models",
                             .model = "m",
                             .arrival = this->now,
                             .prompt_tokens = 100,
                             .max_tokens = 100},
                            this->now);
    return id;
  }

  // Places requests while possible; returns their number.
  int PlaceAll() {
    int count = 0;
    while (this->scheduler.PlaceNext(this->now)) {
      ++count;
    }
    return count;
  }
};

TEST(Scheduler, SpreadsRequestsOverEngines) {
  this->Add("fast");
  this->Add("fast");
  const auto first = this->scheduler.PlaceNext(this->now);
  const auto second = this->scheduler.PlaceNext(this->now);
  CHECK(first && second);
  CHECK(first->backend != second->backend);
}

TEST(Scheduler, HigherTierGoesFirst) {
  this->Add("slow");
  const RequestId fast = this->Add("fast");
  const auto first = this->scheduler.PlaceNext(this->now);
  CHECK(first.has_value());
  CHECK_EQUAL(fast, first->id);
}

TEST(Scheduler, BatchStaysWithinTokenTimeTarget) {
  for (int i = 0; i < 400; ++i) {
    this->Add("fast");
  }
  this->PlaceAll();
  for (BackendIndex index = 0; index < 2; ++index) {
    const BackendState& state = this->scheduler.backend(index);
    CHECK(state.TokenTime(state.own_running()) <= 0.064);
  }
}

TEST(Scheduler, EjectedEngineGetsNoRequests) {
  this->Add("fast");
  const auto placed = this->scheduler.PlaceNext(this->now);
  this->scheduler.ReleaseAfterFailure(placed->backend, this->now);
  for (int i = 0; i < 5; ++i) {
    this->Add("fast");
  }
  while (const auto next = this->scheduler.PlaceNext(this->now)) {
    CHECK(next->backend != placed->backend);
  }
}

TEST(Scheduler, EjectedEngineStartsTrial) {
  this->Add("fast");
  const auto placed = this->scheduler.PlaceNext(this->now);
  this->scheduler.ReleaseAfterFailure(placed->backend, this->now);
  this->now += seconds(3);
  this->scheduler.Tick(this->now);
  CHECK(this->scheduler.backend(placed->backend).health() ==
        BackendHealth::kTrial);
}

TEST(Scheduler, LateLoadReportIsCorrectedByOwnRequests) {
  for (int i = 0; i < 10; ++i) {
    this->Add("fast");
  }
  this->PlaceAll();
  const int own = this->scheduler.backend(0).own_running();
  // The report was measured before the placements, so its three requests belong
  // to other instances.
  this->scheduler.ApplyLoadReport("engine-0", this->now - seconds(1), 3,
                                  this->now);
  CHECK_EQUAL(own + 3, this->scheduler.backend(0).EstimatedRunning());
}

TEST(Scheduler, LeavingBackendGetsNoRequests) {
  ResourceSet resources = MakeResources(2);
  resources.revision = 2;
  resources.backends[0].is_draining = true;
  this->scheduler.SetResources(resources, this->now);
  for (int i = 0; i < 6; ++i) {
    this->Add("fast");
  }
  while (const auto next = this->scheduler.PlaceNext(this->now)) {
    CHECK(this->scheduler.backend(next->backend).backend().name != "engine-0");
  }
}
