// Frames on links between instances: a length and so many bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace rosemarycove {

// Why bytes are no frame.
enum class FrameError : std::uint8_t { kTooLong, kMalformed };

// The body with its length in front.
std::string PrependLength(const std::uint8_t* body, std::size_t size);

// Takes the body of one whole frame off the front of `bytes`, in a buffer of
// its own, aligned as the verifier of bodies wants it. Empty when more is
// needed; an error when the body is longer than `most` bytes.
tl::expected<std::optional<std::vector<std::uint8_t>>, FrameError>
ExtractFrameBody(std::string& bytes, std::size_t most);

}  // namespace rosemarycove
