#include "core/fleet_demand.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace rosemarycove {
namespace {

constexpr Duration kSampleInterval = std::chrono::milliseconds(500);
// The samples of 20 s.
constexpr std::size_t kMaxSamples = 40;
// Reports come several times per second.
constexpr Duration kReportTimeout = std::chrono::seconds(3);
// How long an instance that stopped reporting keeps its demand: longer than
// links between data centres are cut as a rule.
constexpr Duration kRetention = std::chrono::seconds(120);
// Refused callers return, each time as a refusal: at most as much work as is
// done counts as refused, or this many engines if less is done.
constexpr double kMinUnserved = 1;

double CountedUnserved(const DemandPart& part) {
  return std::min(part.unserved, std::max(part.busy, kMinUnserved));
}

// Returns the highest level below which `values` didn't fall for `length`
// samples.
double SustainedLevel(const std::vector<double>& values, std::size_t length) {
  const std::size_t window = std::clamp<std::size_t>(length, 1, values.size());
  double level = 0;
  for (std::size_t i = 0; i + window <= values.size(); ++i) {
    const auto begin = values.begin() + static_cast<std::ptrdiff_t>(i);
    level = std::max(
        level,
        *std::min_element(begin, begin + static_cast<std::ptrdiff_t>(window)));
  }
  return level;
}

// Returns the mean of the values, each limited to the sustained level.
double SustainedMean(const std::vector<double>& values, std::size_t length) {
  if (values.empty()) {
    return 0;
  }
  const double level = SustainedLevel(values, length);
  const double sum = std::accumulate(values.begin(), values.end(), 0.0,
                                     [&](double total, double value) {
                                       return total + std::min(value, level);
                                     });
  return sum / static_cast<double>(values.size());
}

}  // namespace

void FleetDemand::Record(const std::string& instance,
                         const std::string& data_centre,
                         const std::vector<EngineDemand>& demand,
                         TimePoint now) {
  this->reports[instance] = {
      .data_centre = data_centre, .demand = demand, .received_at = now};
}

void FleetDemand::Remove(const std::string& instance) {
  this->reports.erase(instance);
}

void FleetDemand::SetFleet(
    std::vector<std::pair<std::string, std::string>> instances) {
  this->fleet = std::move(instances);
}

void FleetDemand::Tick(TimePoint now) {
  if (now - this->sampled_at < kSampleInterval) {
    return;
  }
  this->sampled_at = now;
  std::erase_if(this->reports, [&](const auto& item) {
    return now - item.second.received_at > kRetention;
  });
  this->UpdateCompleteness(now);
  std::map<std::uint64_t, Sample> current;
  for (const auto& [service, known] : this->series) {
    current[service];
  }
  for (const auto& [instance, report] : this->reports) {
    for (const EngineDemand& demand : report.demand) {
      EngineDemand& sum = current[demand.service_hash][report.data_centre];
      sum.urgent += demand.urgent;
      sum.other += demand.other;
    }
  }
  for (auto& [service, sample] : current) {
    Series& known = this->series[service];
    const bool has_demand =
        std::any_of(sample.begin(), sample.end(), [](const auto& item) {
          return item.second.urgent.Total() + item.second.other.Total() > 0;
        });
    if (has_demand && !known.known_since) {
      known.known_since = now;
    }
    if (!known.known_since) {
      continue;
    }
    known.samples.push_back(std::move(sample));
    if (known.samples.size() > kMaxSamples) {
      known.samples.pop_front();
    }
  }
}

void FleetDemand::UpdateCompleteness(TimePoint now) {
  std::map<std::string, TimePoint> updated;
  for (const auto& [instance, data_centre] : this->fleet) {
    const auto before = this->complete_since.find(data_centre);
    updated[data_centre] =
        before == this->complete_since.end() ? now : before->second;
  }
  for (const auto& [instance, data_centre] : this->fleet) {
    const auto report = this->reports.find(instance);
    if (report == this->reports.end() ||
        now - report->second.received_at > kReportTimeout) {
      updated.erase(data_centre);
    }
  }
  this->complete_since = std::move(updated);
}

ServiceDemand FleetDemand::Summarize(std::uint64_t service_hash,
                                     Duration min_duration,
                                     TimePoint now) const {
  ServiceDemand result;
  const auto found = this->series.find(service_hash);
  if (found == this->series.end() || !found->second.known_since) {
    return result;
  }
  result.known_for = now - *found->second.known_since;
  const auto length =
      static_cast<std::size_t>(min_duration / kSampleInterval) + 1;
  std::set<std::string> names;
  for (const auto& [instance, data_centre] : this->fleet) {
    names.insert(data_centre);
  }
  for (const Sample& sample : found->second.samples) {
    for (const auto& [name, demand] : sample) {
      names.insert(name);
    }
  }
  for (const std::string& name : names) {
    std::vector<double> urgent;
    std::vector<double> other;
    std::vector<double> unserved;
    for (const Sample& sample : found->second.samples) {
      const auto item = sample.find(name);
      const EngineDemand demand =
          item == sample.end() ? EngineDemand{} : item->second;
      const double urgent_unserved = CountedUnserved(demand.urgent);
      const double other_unserved = CountedUnserved(demand.other);
      urgent.push_back(demand.urgent.busy + urgent_unserved);
      other.push_back(demand.other.busy + other_unserved);
      unserved.push_back(urgent_unserved + other_unserved);
    }
    const auto complete = this->complete_since.find(name);
    result.data_centres[name] = {
        .urgent = SustainedMean(urgent, length),
        .other = SustainedMean(other, length),
        .unserved = SustainedMean(unserved, length),
        .is_complete = complete != this->complete_since.end() &&
                       now - complete->second >=
                           static_cast<int>(kMaxSamples) * kSampleInterval};
  }
  return result;
}

}  // namespace rosemarycove
