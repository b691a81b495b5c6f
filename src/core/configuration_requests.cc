#include "core/configuration_requests.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// Time for the instances that read the store to send a new configuration.
constexpr Duration kPushTime = std::chrono::milliseconds(300);
// Time for the response to a request.
constexpr Duration kResponseTime = std::chrono::milliseconds(500);

}  // namespace

std::optional<std::string> ConfigurationRequests::Next(
    std::uint64_t version, const std::vector<ConfigurationHolder>& holders,
    TimePoint now) {
  if (holders.empty() || version != this->last_version) {
    this->last_version = version;
    this->behind_since.reset();
    this->asked_at = {};
    this->asked.clear();
  }
  if (holders.empty()) {
    return std::nullopt;
  }
  if (!this->behind_since) {
    this->behind_since = now;
  }
  if (now - *this->behind_since < kPushTime ||
      now - this->asked_at < kResponseTime) {
    return std::nullopt;
  }
  std::vector<ConfigurationHolder> candidates;
  std::copy_if(holders.begin(), holders.end(), std::back_inserter(candidates),
               [this](const ConfigurationHolder& holder) {
                 return !this->asked.contains(holder.address);
               });
  if (candidates.empty()) {
    this->asked.clear();
    candidates = holders;
  }
  const bool has_near =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const auto& holder) { return holder.is_near; });
  if (has_near) {
    std::erase_if(candidates,
                  [](const auto& holder) { return !holder.is_near; });
  }
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  const std::string address = candidates[draw(this->random)].address;
  this->asked.insert(address);
  this->asked_at = now;
  return address;
}

}  // namespace rosemarycove
