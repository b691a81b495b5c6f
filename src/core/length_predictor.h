// Prediction of response lengths from those observed before. Used by Scheduler.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace rosemarycove {

// A histogram of response lengths with geometric buckets and exponential decay.
class LengthDistribution {
 public:
  // Bucket i holds lengths of up to 2^((i+1)/2) tokens.
  static constexpr std::size_t kBuckets = 34;

  // Adds an observed length in tokens; the weights of earlier ones decay.
  void Observe(int tokens);
  // Sum of the decayed weights; each observation starts with weight 1.
  [[nodiscard]] double weight() const { return this->total_weight; }
  // Returns the mean length in tokens; 0 before the first observation.
  [[nodiscard]] double Mean() const;
  // Returns a quantile, given as 0 to 1, in tokens, interpolated within its
  // bucket.
  [[nodiscard]] double Quantile(double quantile) const;

 private:
  std::array<double, kBuckets> buckets{};
  double total_weight = 0;
  double weighted_sum = 0;
};

// A predicted response length, in tokens.
struct LengthEstimate {
  double mean = 0;
  double p95 = 0;  // The 0.95 quantile.
};

// Predicts lengths by class and customer, or by the class alone if the customer
// has too few observations. Owned by a Scheduler.
class LengthPredictor {
 public:
  // Records the length in tokens of a complete response.
  void Observe(const std::string& class_name, const std::string& customer,
               int tokens);
  // Estimates the length of a response. A `max_tokens` above 0 is the upper
  // bound.
  [[nodiscard]] LengthEstimate Estimate(const std::string& class_name,
                                        const std::string& customer,
                                        int max_tokens) const;

 private:
  std::unordered_map<std::string, LengthDistribution> by_class;
  // By class and customer; see CustomerKey.
  std::unordered_map<std::string, LengthDistribution> by_customer;
};

}  // namespace rosemarycove
