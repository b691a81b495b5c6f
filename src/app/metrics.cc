#include "app/metrics.h"

#include <fmt/format.h>

#include <cmath>
#include <limits>
#include <vector>

namespace rosemarycove {
namespace {

// Bounds of the histograms' buckets, in seconds.
const std::vector<double> kTimeBounds = {
    0,   0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.42,
    0.8, 1.5,   3,      6,     12,   30,    60,   300, 1800};

void AppendHeader(std::string& text, const char* name, const char* help,
                  const char* type) {
  text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void AppendByLabel(std::string& text, const char* name, const char* help,
                   const char* label,
                   const std::map<std::string, std::uint64_t>& values) {
  AppendHeader(text, name, help, "counter");
  for (const auto& [key, value] : values) {
    text += fmt::format("{}{{{}=\"{}\"}} {}\n", name, label, key, value);
  }
}

}  // namespace

Metrics::Metrics()
    : queue_wait(MakeTimeMetric()),
      first_token_time(MakeTimeMetric()),
      total_time(MakeTimeMetric()) {}

Metrics::TimeMetric Metrics::MakeTimeMetric() {
  return {.histogram = boost::histogram::make_histogram(ClassAxis(),
                                                        TimeAxis(kTimeBounds)),
          .sums = {}};
}

void Metrics::Record(TimeMetric& metric, const std::string& class_name,
                     Duration time) {
  metric.histogram(class_name, ToSeconds(time));
  metric.sums[class_name] += ToSeconds(time);
}

void Metrics::Observe(const FinishRequest& finish, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const std::string& name = finish.class_name;
  ++this->requests[{name, std::string(ToString(finish.outcome)),
                    std::string(ToString(finish.cause))}];
  this->tokens_by_class[name] += static_cast<std::uint64_t>(finish.tokens);
  if (finish.wasted_tokens > 0) {
    this->wasted_tokens_by_cause[std::string(ToString(finish.cause))] +=
        static_cast<std::uint64_t>(finish.wasted_tokens);
  }
  if (finish.outcome != Outcome::kCancelled) {
    this->attainment.Add(name, finish.on_target, now);
    this->on_target_by_class[name] += finish.on_target ? 1 : 0;
  }
  if (finish.attempts > 0) {
    Record(this->queue_wait, name, finish.wait_time);
  }
  if (finish.time_to_first_token > Duration{}) {
    Record(this->first_token_time, name, finish.time_to_first_token);
  }
  if (finish.outcome == Outcome::kCompleted) {
    Record(this->total_time, name, finish.total_time);
  }
}

AttainmentCount Metrics::AttainmentOf(const std::string& class_name,
                                      Duration span, TimePoint now) const {
  const std::lock_guard lock(this->mutex);
  return this->attainment.Count(class_name, span, now);
}

void Metrics::AppendHistogram(std::string& text, const char* name,
                              const char* help, const TimeMetric& metric) {
  AppendHeader(text, name, help, "histogram");
  const ClassAxis& classes =
      metric.histogram.axis(std::integral_constant<unsigned, 0>());
  const TimeAxis& times =
      metric.histogram.axis(std::integral_constant<unsigned, 1>());
  for (int row = 0; row < classes.size(); ++row) {
    const std::string& class_name = classes.value(row);
    double count = 0;
    for (int bin = -1; bin < times.size(); ++bin) {
      count += metric.histogram.at(row, bin);
      if (bin >= 0) {
        text += fmt::format("{}_bucket{{class=\"{}\",le=\"{}\"}} {}\n", name,
                            class_name, times.bin(bin).upper(), count);
      }
    }
    count += metric.histogram.at(row, times.size());
    text += fmt::format("{}_bucket{{class=\"{}\",le=\"+Inf\"}} {}\n", name,
                        class_name, count);
    text += fmt::format("{}_sum{{class=\"{}\"}} {}\n", name, class_name,
                        metric.sums.at(class_name));
    text +=
        fmt::format("{}_count{{class=\"{}\"}} {}\n", name, class_name, count);
  }
}

std::string Metrics::ToPrometheus(TimePoint now, std::size_t waiting,
                                  std::size_t running) const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  AppendHeader(text, "rosemarycove_requests_total",
               "Requests by class, outcome and cause.", "counter");
  for (const auto& [key, value] : this->requests) {
    text += fmt::format(
        "rosemarycove_requests_total{{class=\"{}\",outcome=\"{}\","
        "cause=\"{}\"}} {}\n",
        std::get<0>(key), std::get<1>(key), std::get<2>(key), value);
  }
  AppendByLabel(text, "rosemarycove_on_target_total",
                "Completed requests that met their target (goodput).", "class",
                this->on_target_by_class);
  AppendByLabel(text, "rosemarycove_tokens_total",
                "Tokens of the last attempts of ended requests.", "class",
                this->tokens_by_class);
  AppendByLabel(text, "rosemarycove_wasted_tokens_total",
                "Tokens generated and not used, by cause.", "cause",
                this->wasted_tokens_by_cause);
  AppendHeader(text, "rosemarycove_attainment",
               "Share of the last minutes' requests on target.", "gauge");
  for (const auto& [name, count] : this->on_target_by_class) {
    for (const int minutes : {1, 10, 60}) {
      const AttainmentCount window =
          this->attainment.Count(name, std::chrono::minutes(minutes), now);
      text += fmt::format(
          "rosemarycove_attainment{{class=\"{}\",minutes=\"{}\"}} {}\n", name,
          minutes, window.Share());
    }
  }
  AppendHeader(text, "rosemarycove_waiting", "Requests in queues.", "gauge");
  text += fmt::format("rosemarycove_waiting {}\n", waiting);
  AppendHeader(text, "rosemarycove_running", "Requests at servers.", "gauge");
  text += fmt::format("rosemarycove_running {}\n", running);
  AppendHistogram(text, "rosemarycove_queue_wait_seconds",
                  "From arrival to the last sending.", this->queue_wait);
  AppendHistogram(text, "rosemarycove_first_token_seconds",
                  "From arrival to the first token.", this->first_token_time);
  AppendHistogram(text, "rosemarycove_whole_seconds",
                  "From arrival to the end of a completed answer.",
                  this->total_time);
  return text;
}

}  // namespace rosemarycove
