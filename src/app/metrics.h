// Counters and histograms of one instance, in the Prometheus text format.
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

// Collects metrics of ended requests. Thread-safe.
class Metrics {
 public:
  Metrics();

  // Counts a request's outcome.
  void Observe(const FinishRequest& finish, TimePoint now);
  // All metrics in the Prometheus text exposition format. `waiting` and
  // `running` are the current numbers of requests.
  [[nodiscard]] std::string ToPrometheus(TimePoint now, std::size_t waiting,
                                         std::size_t running) const;
  // How many requests of a class ended and met their target over the last
  // `span`.
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

  // A histogram of times by class, with the sums by class that the Prometheus
  // format requires.
  struct TimeMetric {
    TimeHistogram histogram;
    std::map<std::string, double> sums;
  };

  static TimeMetric MakeTimeMetric();
  static void Record(TimeMetric& metric, const std::string& class_name,
                     Duration time);
  static void AppendHistogram(std::string& text, const char* name,
                              const char* help, const TimeMetric& metric);

  mutable std::mutex mutex;
  TimeMetric queue_wait;
  TimeMetric first_token_time;
  TimeMetric total_time;
  // Requests by class, outcome and cause.
  std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t>
      requests;
  std::map<std::string, std::uint64_t> on_target_by_class;
  std::map<std::string, std::uint64_t> tokens_by_class;
  std::map<std::string, std::uint64_t> wasted_tokens_by_cause;
  Attainment attainment;
};

}  // namespace rosemarycove
