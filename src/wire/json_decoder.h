// Decodes JSON that other programs wrote: callers, backend servers, operators
// and stores.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>
#include <vector>

namespace rosemarycove {

// Describes a member that is missing, has the wrong type or is out of range.
// JsonDecoder returns it as an error; it doesn't leave the decoder.
struct JsonFieldError {
  std::string message;
};

// The members of one JSON object. All functions throw a JsonFieldError if the
// member is not what they return; those with a default value return it if the
// member is missing. Refers to the object, which must outlive it.
class JsonFields {
 public:
  // Throws a JsonFieldError with this name if the value is not an object.
  explicit JsonFields(const nlohmann::json& value,
                      std::string_view name = "the value");

  [[nodiscard]] bool Has(const char* name) const;
  [[nodiscard]] std::string String(const char* name) const;
  [[nodiscard]] std::string StringOr(const char* name,
                                     std::string default_value) const;
  // A string that may stand in a header field: neither empty nor with control
  // characters.
  [[nodiscard]] std::string Name(const char* name) const;
  // A whole number from `min` to `max`; 4.0 is one, too.
  [[nodiscard]] std::int64_t Integer(const char* name, std::int64_t min,
                                     std::int64_t max) const;
  template <typename T>
  [[nodiscard]] T IntegerOr(const char* name, T default_value, std::int64_t min,
                            std::int64_t max) const {
    return this->Has(name) ? static_cast<T>(this->Integer(name, min, max))
                           : default_value;
  }
  [[nodiscard]] double Number(const char* name, double min, double max) const;
  // The members of an object whose values are all numbers within the range.
  [[nodiscard]] std::map<std::string, double> Numbers(const char* name,
                                                      double min,
                                                      double max) const;
  [[nodiscard]] bool BooleanOr(const char* name, bool default_value) const;
  [[nodiscard]] JsonFields Object(const char* name) const;
  [[nodiscard]] const nlohmann::json& Array(const char* name) const;
  // The members of an array of objects.
  [[nodiscard]] std::vector<JsonFields> Objects(const char* name) const;
  [[nodiscard]] std::vector<std::string> Strings(const char* name) const;

 private:
  [[nodiscard]] const nlohmann::json& Find(const char* name) const;

  const nlohmann::json& object;
};

struct JsonLimits {
  std::size_t max_bytes = std::size_t{64} << 20U;
  // Copying and writing a value take stack space for each level.
  int max_depth = 64;
  // Longer strings are read as empty ones, which takes a small part of the
  // time.
  std::size_t max_string_bytes = std::size_t{64} << 20U;
  // Text that is not Unicode is replaced by U+FFFD; otherwise it is an error.
  bool replaces_invalid_text = false;
};

// Parses JSON within limits. Throws nothing; an error is a short text without
// any of the input.
class JsonDecoder {
 public:
  explicit JsonDecoder(JsonLimits limits = {}) : limits(limits) {}

  [[nodiscard]] tl::expected<nlohmann::json, std::string> Parse(
      std::string_view text) const;

  // Returns what `read` returns for the members of the object in the text.
  template <typename Read>
  [[nodiscard]] auto DecodeObject(std::string_view text, Read read) const
      -> tl::expected<std::invoke_result_t<Read, JsonFields>, std::string> {
    const auto value = this->Parse(text);
    if (!value) {
      return tl::unexpected(value.error());
    }
    try {
      return read(JsonFields(*value));
    } catch (const JsonFieldError& error) {
      return tl::unexpected(error.message);
    }
  }

 private:
  JsonLimits limits;
};

}  // namespace rosemarycove
