#include "core/routing_configuration.h"

#include <algorithm>
#include <cctype>

namespace rosemarycove {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return lower;
}

}  // namespace

std::string_view ToString(RouteKind kind) {
  switch (kind) {
    case RouteKind::kStream:
      return "stream";
    case RouteKind::kRepeatable:
      return "repeatable";
    case RouteKind::kOnce:
      return "once";
  }
  return "unknown";
}

std::vector<std::string> Route::ServiceNames() const {
  std::vector<std::string> names;
  for (const WeightedService& weighted : this->services) {
    names.push_back(weighted.service);
  }
  return names;
}

Duration RoutingConfiguration::LongestStreamTimeout() const {
  Duration longest{};
  for (const Route& route : this->routes) {
    if (route.kind == RouteKind::kStream) {
      longest = std::max(longest, route.timeout);
    }
  }
  return longest;
}

void RoutingConfiguration::BuildIndexes() {
  for (const auto& [key, holder] : this->holder_by_key) {
    this->max_tier = std::max(this->max_tier, holder.tier.value_or(0));
  }
  for (std::size_t i = 0; i < this->services.size(); ++i) {
    this->service_indices.emplace(this->services[i].name, i);
  }
  for (std::size_t i = 0; i < this->routes.size(); ++i) {
    const Route& route = this->routes[i];
    this->max_tier = std::max(this->max_tier, route.tier);
    this->routes_by_host[LowerCase(route.host)].push_back(i);
    for (const WeightedService& weighted : route.services) {
      int& tier = this->most_urgent_tiers.emplace(weighted.service, route.tier)
                      .first->second;
      tier = std::min(tier, route.tier);
    }
    if (route.kind != RouteKind::kStream) {
      continue;
    }
    for (const WeightedService& weighted : route.services) {
      const auto [target, is_first_target] =
          this->shortest_targets.emplace(weighted.service, route.target);
      target->second = std::min(target->second, route.target);
      if (route.gap_target) {
        const auto [gap, is_first_gap] = this->shortest_gap_targets.emplace(
            weighted.service, *route.gap_target);
        gap->second = std::min(gap->second, *route.gap_target);
      }
    }
  }
  for (auto& [host, indices] : this->routes_by_host) {
    std::stable_sort(indices.begin(), indices.end(),
                     [this](std::size_t a, std::size_t b) {
                       return this->routes[a].path_prefix.size() >
                              this->routes[b].path_prefix.size();
                     });
  }
}

const Route* RoutingConfiguration::FindRoute(std::string_view host,
                                             std::string_view path) const {
  const std::string_view name = host.substr(0, host.rfind(':'));
  const auto found = this->routes_by_host.find(LowerCase(name));
  if (found == this->routes_by_host.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    if (path.starts_with(this->routes[index].path_prefix)) {
      return &this->routes[index];
    }
  }
  return nullptr;
}

const RoutedService* RoutingConfiguration::FindService(
    std::string_view name) const {
  const auto found = this->service_indices.find(std::string(name));
  return found == this->service_indices.end() ? nullptr
                                              : &this->services[found->second];
}

int RoutingConfiguration::MostUrgentTier(const std::string& service) const {
  const auto found = this->most_urgent_tiers.find(service);
  return found == this->most_urgent_tiers.end() ? 0 : found->second;
}

bool RoutingConfiguration::ToleratesPauses(const Route& route,
                                           const std::string& service,
                                           int typical_prompt_tokens) const {
  // Minimum ratio of a pause-tolerant route's gap target to the shortest one,
  // for any prompts and for long ones.
  constexpr double kMinGapRatio = 2;
  constexpr double kMinGapRatioOfLongPrompts = 1.25;
  // The prefill of a prompt of this many tokens takes a large part of a short
  // gap target.
  constexpr int kLongPromptTokens = 6000;
  const auto found = this->shortest_gap_targets.find(service);
  if (!route.gap_target || found == this->shortest_gap_targets.end()) {
    return false;
  }
  const double ratio = ToSeconds(*route.gap_target) / ToSeconds(found->second);
  return ratio >= kMinGapRatio || (ratio >= kMinGapRatioOfLongPrompts &&
                                   typical_prompt_tokens >= kLongPromptTokens);
}

std::optional<Duration> RoutingConfiguration::ShortestTarget(
    const std::string& service) const {
  const auto found = this->shortest_targets.find(service);
  if (found == this->shortest_targets.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace rosemarycove
