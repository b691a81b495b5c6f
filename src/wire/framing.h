// The framing of messages between instances: a 32-bit length, then a body of
// that many bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace rosemarycove {

// Why data isn't a valid frame.
enum class FrameError : std::uint8_t { kTooLong, kMalformed };

// Returns the body with its length prefix.
std::string PrependLength(const std::uint8_t* body, std::size_t size);

// Removes the first frame from `bytes` and returns its body in a separate
// buffer, which has the alignment that the FlatBuffers verifier requires.
// Returns nullopt when `bytes` doesn't contain a whole frame yet, and an error
// when the body is longer than `max_size` bytes.
tl::expected<std::optional<std::vector<std::uint8_t>>, FrameError>
ExtractFrameBody(std::string& bytes, std::size_t max_size);

}  // namespace rosemarycove
