#include "core/length_predictor.h"

#include <algorithm>
#include <cmath>

namespace rosemarycove {
namespace {

// The weights of earlier observations are multiplied by this for each new one.
constexpr double kDecay = 0.995;
constexpr double kP95 = 0.95;
// A customer with less total weight than this is predicted from its class.
constexpr double kMinCustomerWeight = 20;
// Estimates for a class without observations, in tokens.
constexpr double kPriorMean = 200;
constexpr double kPriorP95 = 400;

// Returns the upper bound of a bucket, in tokens.
double BucketBound(std::size_t bucket) {
  return std::exp2((static_cast<double>(bucket) + 1) / 2);
}

std::string CustomerKey(const std::string& class_name,
                        const std::string& customer) {
  return class_name + '\n' + customer;
}

}  // namespace

void LengthDistribution::Observe(int tokens) {
  const double length = std::max(1, tokens);
  const double position = std::ceil(2 * std::log2(length)) - 1;
  const auto bucket = static_cast<std::size_t>(
      std::clamp(position, 0.0, static_cast<double>(kBuckets - 1)));
  for (double& value : this->buckets) {
    value *= kDecay;
  }
  this->buckets[bucket] += 1;
  this->total_weight = this->total_weight * kDecay + 1;
  this->weighted_sum = this->weighted_sum * kDecay + length;
}

double LengthDistribution::Mean() const {
  return this->total_weight > 0 ? this->weighted_sum / this->total_weight : 0;
}

double LengthDistribution::Quantile(double quantile) const {
  const double target_weight = quantile * this->total_weight;
  double cumulative = 0;
  double lower = 1;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    const double weight = this->buckets[bucket];
    const double upper = BucketBound(bucket);
    if (weight > 0 && cumulative + weight >= target_weight) {
      return lower + (upper - lower) * (target_weight - cumulative) / weight;
    }
    cumulative += weight;
    lower = upper;
  }
  return lower;
}

void LengthPredictor::Observe(const std::string& class_name,
                              const std::string& customer, int tokens) {
  this->by_class[class_name].Observe(tokens);
  this->by_customer[CustomerKey(class_name, customer)].Observe(tokens);
}

LengthEstimate LengthPredictor::Estimate(const std::string& class_name,
                                         const std::string& customer,
                                         int max_tokens) const {
  const LengthDistribution* chosen = nullptr;
  const auto by_customer_entry =
      this->by_customer.find(CustomerKey(class_name, customer));
  if (by_customer_entry != this->by_customer.end() &&
      by_customer_entry->second.weight() >= kMinCustomerWeight) {
    chosen = &by_customer_entry->second;
  } else if (const auto shared = this->by_class.find(class_name);
             shared != this->by_class.end()) {
    chosen = &shared->second;
  }
  LengthEstimate estimate{.mean = kPriorMean, .p95 = kPriorP95};
  if (chosen != nullptr) {
    estimate = {.mean = chosen->Mean(), .p95 = chosen->Quantile(kP95)};
  }
  if (max_tokens > 0) {
    estimate.mean = std::min(estimate.mean, static_cast<double>(max_tokens));
    estimate.p95 = std::min(estimate.p95, static_cast<double>(max_tokens));
  }
  return estimate;
}

}  // namespace rosemarycove
