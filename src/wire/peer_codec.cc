#include "wire/peer_codec.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>
#include <vector>

#include "wire/peer_generated.h"

namespace rosemarycove {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

std::int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

// Times of a peer are never negative; about eleven days fit a Duration.
Duration FromMicroseconds(std::int64_t count) {
  constexpr std::int64_t kMax = 1'000'000'000'000;
  return std::chrono::microseconds(std::clamp<std::int64_t>(count, 0, kMax));
}

std::string ToString(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

// Builds a frame; has one overload for each kind of message.
class PeerFrameBuilder {
 public:
  explicit PeerFrameBuilder(FlatBufferBuilder& builder) : builder(builder) {}

  Offset<wire::Frame> operator()(const PeerChallenge& item) {
    return this->MakeFrame(wire::Body::Challenge,
                           wire::CreateChallenge(this->builder, item.version,
                                                 this->MakeString(item.nonce)));
  }
  Offset<wire::Frame> operator()(const PeerHello& item) {
    return this->MakeFrame(
        wire::Body::Hello,
        wire::CreateHello(
            this->builder, item.version, this->MakeString(item.name),
            this->MakeString(item.data_centre), item.revision,
            this->MakeString(item.nonce), this->MakeString(item.proof)));
  }
  Offset<wire::Frame> operator()(const PeerWelcome& item) {
    return this->MakeFrame(
        wire::Body::Welcome,
        wire::CreateWelcome(this->builder, this->MakeString(item.name),
                            this->MakeString(item.data_centre), item.revision,
                            this->MakeString(item.proof)));
  }
  Offset<wire::Frame> operator()(const PeerHeartbeat& item) {
    return this->MakeFrame(
        wire::Body::Heartbeat,
        wire::CreateHeartbeat(this->builder, item.revision, item.leaving));
  }
  Offset<wire::Frame> operator()(const PeerMessage& message) {
    return std::visit(*this, message);
  }
  Offset<wire::Frame> operator()(const SlotRequest& item) {
    const auto tried = this->builder.CreateVectorOfStrings(item.tried);
    return this->MakeFrame(
        wire::Body::AskSlot,
        wire::CreateAskSlot(
            this->builder, item.id, this->MakeString(item.class_name),
            this->MakeString(item.customer), this->MakeString(item.service),
            this->MakeString(item.model), item.group,
            ToMicroseconds(item.wait_time), item.prompt_tokens, item.max_tokens,
            item.prefix_hash, tried, item.slot_request_id));
  }
  Offset<wire::Frame> operator()(const SlotRequestWithdrawn& item) {
    return this->MakeFrame(
        wire::Body::WithdrawAsk,
        wire::CreateWithdrawAsk(this->builder, item.id, item.slot_request_id));
  }
  Offset<wire::Frame> operator()(const SlotGranted& item) {
    return this->MakeFrame(
        wire::Body::SlotGranted,
        wire::CreateSlotGranted(this->builder, item.id,
                                this->MakeString(item.backend),
                                item.slot_request_id));
  }
  Offset<wire::Frame> operator()(const SlotRefused& item) {
    return this->MakeFrame(
        wire::Body::SlotRefused,
        wire::CreateSlotRefused(
            this->builder, item.id, static_cast<std::uint8_t>(item.cause),
            ToMicroseconds(item.retry_after), item.slot_request_id));
  }
  Offset<wire::Frame> operator()(const SlotProgress& item) {
    return this->MakeFrame(
        wire::Body::TokensSeen,
        wire::CreateTokensSeen(this->builder, item.id, item.tokens,
                               ToMicroseconds(item.elapsed),
                               item.slot_request_id));
  }
  Offset<wire::Frame> operator()(const SlotReleased& item) {
    return this->MakeFrame(
        wire::Body::SlotReleased,
        wire::CreateSlotReleased(this->builder, item.id,
                                 static_cast<std::uint8_t>(item.end),
                                 item.tokens, item.slot_request_id));
  }
  Offset<wire::Frame> operator()(const SlotHeld& item) {
    return this->MakeFrame(
        wire::Body::SlotHeld,
        wire::CreateSlotHeld(
            this->builder, item.id, this->MakeString(item.backend),
            this->MakeString(item.class_name), this->MakeString(item.customer),
            item.slot_request_id));
  }

 private:
  Offset<flatbuffers::String> MakeString(const std::string& text) {
    return this->builder.CreateString(text);
  }
  template <typename T>
  Offset<wire::Frame> MakeFrame(wire::Body kind, Offset<T> body) {
    return wire::CreateFrame(this->builder, kind, body.Union());
  }

  FlatBufferBuilder& builder;
};

std::optional<PeerFrame> DecodeAskSlot(const wire::AskSlot& item) {
  SlotRequest request{.id = item.id(),
                      .slot_request_id = item.ask(),
                      .class_name = ToString(item.class_name()),
                      .customer = ToString(item.customer()),
                      .service = ToString(item.service()),
                      .model = ToString(item.model()),
                      .group = item.group(),
                      .wait_time = FromMicroseconds(item.waited_us()),
                      .prompt_tokens = item.prompt_tokens(),
                      .max_tokens = item.max_tokens(),
                      .prefix_hash = item.prefix(),
                      .tried = {}};
  if (item.tried() != nullptr) {
    for (const flatbuffers::String* name : *item.tried()) {
      request.tried.push_back(ToString(name));
    }
  }
  return PeerMessage(std::move(request));
}

std::optional<PeerFrame> DecodeSlotRefused(const wire::SlotRefused& item) {
  if (item.cause() > static_cast<std::uint8_t>(EndCause::kStoreUnavailable)) {
    return std::nullopt;
  }
  return PeerMessage(
      SlotRefused{.id = item.id(),
                  .slot_request_id = item.ask(),
                  .cause = static_cast<EndCause>(item.cause()),
                  .retry_after = FromMicroseconds(item.retry_after_us())});
}

std::optional<PeerFrame> DecodeSlotReleased(const wire::SlotReleased& item) {
  if (item.end() > static_cast<std::uint8_t>(SlotEnd::kNeutral)) {
    return std::nullopt;
  }
  return PeerMessage(SlotReleased{.id = item.id(),
                                  .slot_request_id = item.ask(),
                                  .end = static_cast<SlotEnd>(item.end()),
                                  .tokens = item.tokens()});
}

std::optional<PeerFrame> DecodeBody(const wire::Frame& frame) {
  // The verifier accepts a type without a body.
  if (frame.body() == nullptr) {
    return std::nullopt;
  }
  switch (frame.body_type()) {
    case wire::Body::Challenge: {
      const auto& item = *frame.body_as_Challenge();
      return PeerChallenge{.version = item.version(),
                           .nonce = ToString(item.nonce())};
    }
    case wire::Body::Hello: {
      const auto& item = *frame.body_as_Hello();
      return PeerHello{.version = item.version(),
                       .name = ToString(item.name()),
                       .data_centre = ToString(item.data_centre()),
                       .revision = item.revision(),
                       .nonce = ToString(item.nonce()),
                       .proof = ToString(item.proof())};
    }
    case wire::Body::Welcome: {
      const auto& item = *frame.body_as_Welcome();
      return PeerWelcome{.name = ToString(item.name()),
                         .data_centre = ToString(item.data_centre()),
                         .revision = item.revision(),
                         .proof = ToString(item.proof())};
    }
    case wire::Body::Heartbeat: {
      const auto& item = *frame.body_as_Heartbeat();
      return PeerHeartbeat{.revision = item.revision(),
                           .leaving = item.leaving()};
    }
    case wire::Body::AskSlot:
      return DecodeAskSlot(*frame.body_as_AskSlot());
    case wire::Body::WithdrawAsk:
      return PeerMessage(SlotRequestWithdrawn{
          .id = frame.body_as_WithdrawAsk()->id(),
          .slot_request_id = frame.body_as_WithdrawAsk()->ask()});
    case wire::Body::SlotGranted: {
      const auto& item = *frame.body_as_SlotGranted();
      return PeerMessage(SlotGranted{.id = item.id(),
                                     .slot_request_id = item.ask(),
                                     .backend = ToString(item.backend())});
    }
    case wire::Body::SlotRefused:
      return DecodeSlotRefused(*frame.body_as_SlotRefused());
    case wire::Body::TokensSeen: {
      const auto& item = *frame.body_as_TokensSeen();
      return PeerMessage(
          SlotProgress{.id = item.id(),
                       .slot_request_id = item.ask(),
                       .tokens = item.tokens(),
                       .elapsed = FromMicroseconds(item.elapsed_us())});
    }
    case wire::Body::SlotReleased:
      return DecodeSlotReleased(*frame.body_as_SlotReleased());
    case wire::Body::SlotHeld: {
      const auto& item = *frame.body_as_SlotHeld();
      return PeerMessage(SlotHeld{.id = item.id(),
                                  .slot_request_id = item.ask(),
                                  .backend = ToString(item.backend()),
                                  .class_name = ToString(item.class_name()),
                                  .customer = ToString(item.customer())});
    }
    case wire::Body::NONE:
      break;
  }
  return std::nullopt;
}

}  // namespace

std::string EncodePeerFrame(const PeerFrame& frame) {
  FlatBufferBuilder builder;
  builder.Finish(std::visit(PeerFrameBuilder(builder), frame));
  return PrependLength(builder.GetBufferPointer(), builder.GetSize());
}

tl::expected<std::optional<PeerFrame>, FrameError> DecodePeerFrame(
    std::string& bytes) {
  const auto body = ExtractFrameBody(bytes, kMaxPeerFrameBytes);
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (!*body) {
    return std::nullopt;
  }
  const std::uint8_t* data = (*body)->data();
  flatbuffers::Verifier verifier(data, (*body)->size());
  if (!wire::VerifyFrameBuffer(verifier)) {
    return tl::unexpected(FrameError::kMalformed);
  }
  std::optional<PeerFrame> frame = DecodeBody(*wire::GetFrame(data));
  if (!frame) {
    return tl::unexpected(FrameError::kMalformed);
  }
  return frame;
}

}  // namespace rosemarycove
