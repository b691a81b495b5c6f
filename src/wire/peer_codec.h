// Encodes and decodes the frames that peers exchange.
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

// The version of the protocol. Connections to instances with another version
// are closed.
inline constexpr std::uint32_t kPeerProtocolVersion = 2;
// The limit of a frame, in bytes, without its length prefix.
inline constexpr std::size_t kMaxPeerFrameBytes = 1U << 16U;

// The accepting side's first message.
struct PeerChallenge {
  std::uint32_t version = kPeerProtocolVersion;
  std::string nonce;
};

// The connecting side's response to the challenge, with its own challenge.
struct PeerHello {
  std::uint32_t version = kPeerProtocolVersion;
  std::string name;
  std::string data_centre;
  std::uint64_t revision = 0;
  std::string nonce;
  std::string proof;
};

// The accepting side's response to the hello.
struct PeerWelcome {
  std::string name;
  std::string data_centre;
  std::uint64_t revision = 0;
  std::string proof;
};

// Shows that the instance is alive and reports its state.
struct PeerHeartbeat {
  // The revision of the configuration that the instance uses.
  std::uint64_t revision = 0;
  bool leaving = false;
};

using PeerFrame = std::variant<PeerChallenge, PeerHello, PeerWelcome,
                               PeerHeartbeat, PeerMessage>;

// Encodes a frame with a length prefix.
std::string EncodePeerFrame(const PeerFrame& frame);

// Removes the first frame from `bytes` and decodes it. Returns nullopt when
// `bytes` doesn't contain a whole frame yet.
tl::expected<std::optional<PeerFrame>, FrameError> DecodePeerFrame(
    std::string& bytes);

}  // namespace rosemarycove
