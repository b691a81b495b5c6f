// Turns peers' messages into frames and back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

#include "core/peer_messages.h"
#include "wire/framing.h"

namespace rosemarycove {

// The version of the messages; instances of another one are refused.
inline constexpr std::uint32_t kPeerProtocolVersion = 2;
// Largest frame, in bytes, without its length.
inline constexpr std::size_t kMaxPeerFrameBytes = 1U << 16U;

// The accepting side's first word.
struct PeerChallenge {
  std::uint32_t version = kPeerProtocolVersion;
  std::string nonce;
};

// The connecting side's answer to the challenge, and its own.
struct PeerHello {
  std::uint32_t version = kPeerProtocolVersion;
  std::string name;
  std::string data_centre;
  std::uint64_t revision = 0;
  std::string nonce;
  std::string proof;
};

// The accepting side's answer to the hello.
struct PeerWelcome {
  std::string name;
  std::string data_centre;
  std::uint64_t revision = 0;
  std::string proof;
};

// Says that the instance is there, and which configuration it uses.
struct PeerHeartbeat {
  std::uint64_t revision = 0;
  bool leaving = false;
};

using PeerFrame = std::variant<PeerChallenge, PeerHello, PeerWelcome,
                               PeerHeartbeat, PeerMessage>;

// A frame with its length in front.
std::string EncodePeerFrame(const PeerFrame& frame);

// Takes one whole frame off the front of `bytes`. Empty when more is needed.
tl::expected<std::optional<PeerFrame>, FrameError> DecodePeerFrame(
    std::string& bytes);

}  // namespace rosemarycove
