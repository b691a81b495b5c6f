// The configurations that an instance had in force, and the differences between
// them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/document_codec.h"
#include "core/shared_document.h"

namespace rosemarycove {

// A configuration as instances send it to each other.
struct ConfigurationUpdate {
  std::string key;
  std::uint64_t revision = 0;
  // DocumentHash of the value to which the update applies; 0 if it needs none.
  std::uint64_t base_hash = 0;
  // DocumentHash and size in bytes of the new value.
  std::uint64_t hash = 0;
  std::size_t size = 0;
  // Made by the DocumentCodec.
  std::string bytes;

  bool operator==(const ConfigurationUpdate&) const = default;
};

// Identifies a document's value. Never 0.
std::uint64_t DocumentHash(std::string_view value);

// Why an update could not be applied.
enum class UpdateError : std::uint8_t {
  kUnknownBase,  // This instance doesn't know the base, or no longer.
  kMalformed,    // The result isn't what the update states.
};

// Returns the word that logs use.
std::string_view ToString(UpdateError error);

// Keeps the configuration in force and, as differences, those before it, so
// that updates can be made for instances that are some versions behind, and
// applied that others made for an earlier report of this one.
class ConfigurationHistory {
 public:
  // `codec` must outlive the history.
  explicit ConfigurationHistory(const DocumentCodec& codec) : codec(codec) {}

  // Makes `document` the latest one.
  void Add(SharedDocument document);
  [[nodiscard]] const SharedDocument& latest() const {
    return this->latest_document;
  }
  // DocumentHash of the latest one; 0 if there is none.
  [[nodiscard]] std::uint64_t latest_hash() const { return this->hash; }
  // Returns the update to the latest one for an instance that has the value
  // with this hash. It contains all if the hash is 0 or unknown. Valid until
  // Add.
  const ConfigurationUpdate& UpdateFrom(std::uint64_t base_hash);
  // Returns the document that the update makes of its base.
  [[nodiscard]] tl::expected<SharedDocument, UpdateError> Apply(
      const ConfigurationUpdate& update) const;

 private:
  // An earlier value, as the difference from the one that followed it.
  struct Earlier {
    std::uint64_t hash = 0;
    std::size_t size = 0;
    std::string difference;
  };

  // Returns the kept value with this hash.
  [[nodiscard]] std::optional<std::string> Find(std::uint64_t hash) const;

  const DocumentCodec& codec;
  SharedDocument latest_document;
  std::uint64_t hash = 0;
  // The most recent first.
  std::deque<Earlier> earlier;
  // Updates to the latest one, by the hash of their base.
  std::map<std::uint64_t, ConfigurationUpdate> updates;
};

}  // namespace rosemarycove
