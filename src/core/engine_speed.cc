#include "core/engine_speed.h"

#include <algorithm>
#include <cmath>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// The estimate counts as many samples of the usual speed as this in addition to
// the observed ones. It ties the scale of all factors to the usual speed, since
// the expected times are fitted to times divided by the same factors.
constexpr double kPriorWeight = 0.5;
// The observed samples count as at most this many, so that an engine whose
// speed changes is learned anew.
constexpr double kMaxWeight = 30;
// Samples of engines that are known better than this are not told.
constexpr double kWellKnownWeight = 12;
// The weight of samples decays to 1/e in this time.
constexpr Duration kWeightDecayTime = std::chrono::seconds(60);
// Bounds of one sample and of the product of both factors.
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 5;
constexpr double kMaxSlowdown = 20;
// The state of an engine lasts for about this time.
constexpr Duration kStatedDecayTime = std::chrono::milliseconds(600);
// A silent engine is avoided for longer: what it suffers from may last for
// seconds.
constexpr Duration kSilenceDecayTime = std::chrono::seconds(4);
// Weight of the latest stated slowdown in the mean of an engine, and of a
// service.
constexpr double kStatedWeight = 0.1;
constexpr double kServiceWeight = 0.02;
// The mean of the service counts as many stated slowdowns of an engine.
constexpr int kStatedPriorCount = 3;

}  // namespace

ShortServerHash ShortIdHash(const std::string& server) {
  return static_cast<ShortServerHash>(IdHash(server));
}

double EngineSpeed::Learned(const Engine& engine) {
  return std::exp(engine.log_sum / (engine.weight + kPriorWeight));
}

double EngineSpeed::MomentNow(const Engine& engine, TimePoint now) {
  const double decay_times = std::max(0.0, ToSeconds(now - engine.moment_at)) /
                             ToSeconds(engine.moment_decay);
  return 1 + (engine.moment - 1) * std::exp(-decay_times);
}

void EngineSpeed::Learn(Engine& engine, double ratio, double weight,
                        TimePoint now) {
  const double kept =
      engine.weight <= 0
          ? 0
          : std::exp(-std::max(0.0, ToSeconds(now - engine.learned_at)) /
                     ToSeconds(kWeightDecayTime)) *
                std::min(1.0, kMaxWeight / (engine.weight + weight));
  engine.log_sum = kept * engine.log_sum +
                   weight * std::log(std::clamp(ratio, kMinRatio, kMaxRatio));
  engine.weight = kept * engine.weight + weight;
  engine.learned_at = now;
}

void EngineSpeed::ObserveStated(const std::string& service,
                                const std::string& server, double slowdown,
                                TimePoint now) {
  double& service_mean =
      this->mean_by_service.emplace(service, slowdown).first->second;
  service_mean += kServiceWeight * (slowdown - service_mean);
  Engine& engine = this->engines[ShortIdHash(server)];
  if (engine.stated_count == 0) {
    engine.stated_mean = service_mean;
  }
  ++engine.stated_count;
  engine.stated_mean +=
      std::max(kStatedWeight, 1.0 / (engine.stated_count + kStatedPriorCount)) *
      (slowdown - engine.stated_mean);
  engine.moment = slowdown / engine.stated_mean;
  engine.moment_decay = kStatedDecayTime;
  engine.moment_at = now;
}

bool EngineSpeed::HasStated(const std::string& service) const {
  return this->mean_by_service.contains(service);
}

void EngineSpeed::Observe(const std::string& server, double ratio,
                          double weight, TimePoint now) {
  const ShortServerHash hash = ShortIdHash(server);
  Engine& engine = this->engines[hash];
  const double usual = ratio / MomentNow(engine, now);
  if (engine.weight < kWellKnownWeight) {
    SpeedSample& sample = this->untold[hash];
    const double sum = sample.weight + weight;
    sample = {.server = hash,
              .ratio = std::exp(
                  (sample.weight * std::log(sample.ratio) +
                   weight * std::log(std::clamp(usual, kMinRatio, kMaxRatio))) /
                  sum),
              .weight = sum};
  }
  this->Learn(engine, usual, weight, now);
}

void EngineSpeed::ObserveSilence(const std::string& server, double ratio,
                                 TimePoint now) {
  if (ratio <= this->Slowdown(server, now)) {
    return;
  }
  Engine& engine = this->engines[ShortIdHash(server)];
  engine.moment = std::min(ratio, kMaxSlowdown) / Learned(engine);
  engine.moment_decay = kSilenceDecayTime;
  engine.moment_at = now;
}

void EngineSpeed::Merge(const std::vector<SpeedSample>& samples,
                        TimePoint now) {
  for (const SpeedSample& sample : samples) {
    this->Learn(this->engines[sample.server], sample.ratio, sample.weight, now);
  }
}

std::vector<SpeedSample> EngineSpeed::Untold() const {
  std::vector<SpeedSample> samples;
  samples.reserve(this->untold.size());
  for (const auto& [server, sample] : this->untold) {
    samples.push_back(sample);
  }
  return samples;
}

void EngineSpeed::Forget(const std::string& server) {
  this->engines.erase(ShortIdHash(server));
  this->untold.erase(ShortIdHash(server));
}

double EngineSpeed::Slowdown(const std::string& server, TimePoint now) const {
  const auto found = this->engines.find(ShortIdHash(server));
  if (found == this->engines.end()) {
    return 1;
  }
  return std::clamp(Learned(found->second) * MomentNow(found->second, now),
                    1 / kMaxSlowdown, kMaxSlowdown);
}

double EngineSpeed::UsualSlowdown(const std::string& server) const {
  const auto found = this->engines.find(ShortIdHash(server));
  return found == this->engines.end() ? 1 : Learned(found->second);
}

}  // namespace rosemarycove
