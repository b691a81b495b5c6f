#include "bench/workload.h"

#include <algorithm>
#include <cmath>

namespace rosemarycove::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Factor on the request rate of a class during its burst.
constexpr double kBurstFactor = 10;

double MeanAnswerTokens(const ClassTraffic& traffic) {
  return traffic.median_answer_tokens *
         std::exp(traffic.length_sigma * traffic.length_sigma / 2);
}

// Returns the lowest target for the time between tokens of all classes, in
// seconds; 1 if no class has a lower one.
double StrictestTokenTime(const Workload& workload) {
  double strictest = 1;
  for (const ClassTraffic& traffic : workload.classes) {
    if (traffic.request_class.target.between_tokens) {
      strictest = std::min(
          strictest, ToSeconds(*traffic.request_class.target.between_tokens));
    }
  }
  return strictest;
}

}  // namespace

Workload SalvamarWorkload() {
  return {.name = "salvamar",
          .classes = {{.request_class = {.name = "relatorio-atrasado",
                                         .tier = 1,
                                         .target = {.whole = seconds(45)},
                                         .max_wait = minutes(2)},
                       .work_share = 0.10,
                       .median_answer_tokens = 250,
                       .length_sigma = 0.4},
                      {.request_class =
                           {.name = "pergunta",
                            .tier = 2,
                            .target = {.first_token = milliseconds(420),
                                       .between_tokens = milliseconds(64)},
                            .max_wait = seconds(10)},
                       .work_share = 0.20,
                       .median_answer_tokens = 120},
                      {.request_class = {.name = "relatorio",
                                         .tier = 3,
                                         .target = {.whole = seconds(60)},
                                         .max_wait = minutes(5),
                                         .guaranteed_share = 0.03},
                       .work_share = 0.40,
                       .median_answer_tokens = 300,
                       .length_sigma = 0.5},
                      {.request_class = {.name = "resumo-patrulha",
                                         .tier = 4,
                                         .target = {.whole = minutes(3)},
                                         .max_wait = minutes(20),
                                         .guaranteed_share = 0.05},
                       .work_share = 0.30,
                       .median_answer_tokens = 500,
                       .length_sigma = 0.5,
                       .prompt_tokens = 1200}},
          .engines = 20};
}

Workload MreznicaWorkload() {
  return {.name = "mreznica",
          .classes = {{.request_class =
                           {.name = "seamstress-question",
                            .tier = 1,
                            .target = {.first_token = milliseconds(420),
                                       .between_tokens = milliseconds(64)},
                            .max_wait = seconds(10)},
                       .work_share = 0.20,
                       .median_answer_tokens = 120},
                      {.request_class = {.name = "defect-label",
                                         .tier = 1,
                                         .target = {.whole = seconds(3)},
                                         .max_wait = seconds(20)},
                       .work_share = 0.10,
                       .median_answer_tokens = 16,
                       .length_sigma = 0.3,
                       .prompt_tokens = 150},
                      {.request_class = {.name = "shift-note",
                                         .tier = 2,
                                         .target = {.whole = seconds(40)},
                                         .max_wait = minutes(3),
                                         .guaranteed_share = 0.03},
                       .work_share = 0.25,
                       .median_answer_tokens = 200,
                       .length_sigma = 0.6},
                      {.request_class = {.name = "pattern-review",
                                         .tier = 3,
                                         .target = {.whole = minutes(5)},
                                         .max_wait = minutes(30),
                                         .guaranteed_share = 0.05},
                       .work_share = 0.45,
                       .median_answer_tokens = 1200,
                       .length_sigma = 0.5,
                       .prompt_tokens = 2000}},
          .engines = 10};
}

ResourceSet WorkloadResources(const Workload& workload,
                              double attainment_weight) {
  ResourceSet resources;
  resources.revision = 1;
  resources.limits.attainment_weight = attainment_weight;
  std::vector<std::string> names;
  for (const ClassTraffic& traffic : workload.classes) {
    resources.classes.push_back(traffic.request_class);
    names.push_back(traffic.request_class.name);
  }
  for (int i = 0; i < workload.customers; ++i) {
    resources.customers.push_back({.name = "customer-" + std::to_string(i),
                                   .key_hash = std::to_string(i),
                                   .classes = names,
                                   .default_class = names.front()});
  }
  resources.services = {{.name = "models", .models = {"m"}}};
  for (int i = 0; i < workload.engines; ++i) {
    resources.backends.push_back(
        {.name = std::to_string(i),
         .service = "models",
         .address = "10.0.0.1:" + std::to_string(i),
         .data_centre = "a",
         .models = {},
         .max_streams = workload.engine.max_streams,
         .token_time_base = workload.engine.token_time_base,
         .token_time_per_stream = workload.engine.token_time_per_stream,
         .prefill_rate = workload.engine.prefill_rate});
  }
  return resources;
}

double TokenCapacity(const Workload& workload) {
  const double token_time = StrictestTokenTime(workload);
  const double batch = std::min<double>(
      workload.engine.max_streams,
      (token_time - ToSeconds(workload.engine.token_time_base)) /
          ToSeconds(workload.engine.token_time_per_stream));
  return workload.engines * batch / token_time;
}

std::vector<Arrival> MakeArrivals(const Workload& workload,
                                  const ArrivalOptions& options) {
  std::vector<Arrival> arrivals;
  std::mt19937 random(options.seed);
  const double capacity = TokenCapacity(workload);
  const TimePoint start = TimePoint{} + seconds(1000);
  for (const ClassTraffic& traffic : workload.classes) {
    // Seconds of one engine's time that a request needs.
    const double work =
        MeanAnswerTokens(traffic) * workload.engines / capacity +
        traffic.prompt_tokens / workload.engine.prefill_rate;
    const double rate =
        options.offered_load * workload.engines * traffic.work_share / work;
    std::lognormal_distribution<double> answer_tokens(
        std::log(traffic.median_answer_tokens), traffic.length_sigma);
    // Skews the traffic towards the first customers.
    std::geometric_distribution<int> customer(0.3);
    Duration at{};
    while (true) {
      const bool burst = traffic.request_class.name == options.burst_class &&
                         at >= options.burst_start && at < options.burst_end;
      std::exponential_distribution<double> gap(burst ? rate * kBurstFactor
                                                      : rate);
      at += FromSeconds(gap(random));
      if (at >= options.duration) {
        break;
      }
      arrivals.push_back(
          {.at = start + at,
           .class_name = traffic.request_class.name,
           .customer =
               "customer-" + std::to_string(std::min(customer(random),
                                                     workload.customers - 1)),
           .prompt_tokens = traffic.prompt_tokens,
           .answer_tokens =
               std::max(1, static_cast<int>(answer_tokens(random)))});
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

}  // namespace rosemarycove::bench
