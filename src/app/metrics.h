// Counters and histograms of one instance, in the Prometheus text form.
#pragma once

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include "core/actions.h"
#include "core/attainment.h"
#include "core/types.h"

namespace rosemarycove {

// Collects what ended requests tell. Safe from any thread.
class Metrics {
 public:
  Metrics();

  // Counts a request's outcome.
  void Observe(const FinishRequest& finish, TimePoint now);
  // Everything in the Prometheus text exposition format.
  [[nodiscard]] std::string ToPrometheus(TimePoint now, std::size_t waiting,
                                         std::size_t running) const;
  // Attainment of a class over the last `span`.
  [[nodiscard]] AttainmentCount AttainmentOf(const std::string& class_name,
                                             Duration span,
                                             TimePoint now) const;

 private:
  using ClassAxis = boost::histogram::axis::category<
      std::string, boost::histogram::use_default,
      boost::histogram::axis::option::growth_t>;
  using TimeAxis = boost::histogram::axis::variable<double>;
  using TimeHistogram =
      decltype(boost::histogram::make_histogram(ClassAxis(), TimeAxis()));

  // A histogram of times by class with the sums that Prometheus wants.
  struct TimeMetric {
    TimeHistogram histogram;
    std::map<std::string, double> sums;
  };

  static TimeMetric MakeTimeMetric();
  static void Record(TimeMetric& metric, const std::string& class_name,
                     Duration time);
  static void Print(std::string& text, const char* name, const char* help,
                    const TimeMetric& metric);

  mutable std::mutex mutex;
  TimeMetric queue_wait;
  TimeMetric first_token;
  TimeMetric whole;
  // By class, outcome and cause.
  std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t>
      outcomes;
  std::map<std::string, std::uint64_t> on_target;
  std::map<std::string, std::uint64_t> tokens;
  std::map<std::string, std::uint64_t> wasted_by_cause;
  Attainment attainment;
};

}  // namespace rosemarycove
