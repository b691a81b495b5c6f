// Compresses documents that instances send to each other.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarycove {

class DocumentCodec {
 public:
  virtual ~DocumentCodec() = default;
  // Returns bytes from which Restore makes `value` with the same base. What the
  // base contains takes hardly any space. The base may be empty.
  [[nodiscard]] virtual std::string Compress(std::string_view value,
                                             std::string_view base) const = 0;
  // Returns a value of `size` bytes; nullopt if the bytes are malformed or make
  // a value of another size.
  [[nodiscard]] virtual std::optional<std::string> Restore(
      std::string_view bytes, std::string_view base,
      std::size_t size) const = 0;
};

}  // namespace rosemarycove
