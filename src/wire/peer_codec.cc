#include "wire/peer_codec.h"

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

Duration FromMicroseconds(std::int64_t count) {
  return std::chrono::microseconds(count);
}

std::string Text(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

// Builds the body of a frame; one call for each kind of message.
class BodyBuilder {
 public:
  explicit BodyBuilder(FlatBufferBuilder& builder) : builder(builder) {}

  Offset<wire::Frame> operator()(const PeerChallenge& item) {
    return this->Wrap(wire::Body::Challenge,
                      wire::CreateChallenge(this->builder, item.version,
                                            this->Put(item.nonce)));
  }
  Offset<wire::Frame> operator()(const PeerHello& item) {
    return this->Wrap(
        wire::Body::Hello,
        wire::CreateHello(this->builder, item.version, this->Put(item.name),
                          this->Put(item.data_centre), item.revision,
                          this->Put(item.nonce), this->Put(item.proof)));
  }
  Offset<wire::Frame> operator()(const PeerWelcome& item) {
    return this->Wrap(
        wire::Body::Welcome,
        wire::CreateWelcome(this->builder, this->Put(item.name),
                            this->Put(item.data_centre), item.revision,
                            this->Put(item.proof)));
  }
  Offset<wire::Frame> operator()(const PeerHeartbeat& item) {
    return this->Wrap(
        wire::Body::Heartbeat,
        wire::CreateHeartbeat(this->builder, item.revision, item.leaving));
  }
  Offset<wire::Frame> operator()(const PeerMessage& message) {
    return std::visit(*this, message);
  }
  Offset<wire::Frame> operator()(const AskSlot& item) {
    const auto tried = this->builder.CreateVectorOfStrings(item.tried);
    return this->Wrap(
        wire::Body::AskSlot,
        wire::CreateAskSlot(this->builder, item.id, this->Put(item.class_name),
                            this->Put(item.customer), this->Put(item.service),
                            this->Put(item.model), item.group,
                            ToMicroseconds(item.waited), item.prompt_tokens,
                            item.max_tokens, item.prefix, tried, item.ask));
  }
  Offset<wire::Frame> operator()(const WithdrawAsk& item) {
    return this->Wrap(
        wire::Body::WithdrawAsk,
        wire::CreateWithdrawAsk(this->builder, item.id, item.ask));
  }
  Offset<wire::Frame> operator()(const SlotGranted& item) {
    return this->Wrap(
        wire::Body::SlotGranted,
        wire::CreateSlotGranted(this->builder, item.id, this->Put(item.backend),
                                item.ask));
  }
  Offset<wire::Frame> operator()(const SlotRefused& item) {
    return this->Wrap(
        wire::Body::SlotRefused,
        wire::CreateSlotRefused(this->builder, item.id,
                                static_cast<std::uint8_t>(item.cause),
                                ToMicroseconds(item.retry_after), item.ask));
  }
  Offset<wire::Frame> operator()(const TokensSeen& item) {
    return this->Wrap(
        wire::Body::TokensSeen,
        wire::CreateTokensSeen(this->builder, item.id, item.tokens,
                               ToMicroseconds(item.elapsed), item.ask));
  }
  Offset<wire::Frame> operator()(const SlotReleased& item) {
    return this->Wrap(
        wire::Body::SlotReleased,
        wire::CreateSlotReleased(this->builder, item.id,
                                 static_cast<std::uint8_t>(item.end),
                                 item.tokens, item.ask));
  }
  Offset<wire::Frame> operator()(const SlotHeld& item) {
    return this->Wrap(
        wire::Body::SlotHeld,
        wire::CreateSlotHeld(this->builder, item.id, this->Put(item.backend),
                             this->Put(item.class_name),
                             this->Put(item.customer), item.ask));
  }

 private:
  Offset<flatbuffers::String> Put(const std::string& text) {
    return this->builder.CreateString(text);
  }
  template <typename T>
  Offset<wire::Frame> Wrap(wire::Body kind, Offset<T> body) {
    return wire::CreateFrame(this->builder, kind, body.Union());
  }

  FlatBufferBuilder& builder;
};

std::optional<PeerFrame> ReadAsk(const wire::AskSlot& item) {
  AskSlot ask{.id = item.id(),
              .ask = item.ask(),
              .class_name = Text(item.class_name()),
              .customer = Text(item.customer()),
              .service = Text(item.service()),
              .model = Text(item.model()),
              .group = item.group(),
              .waited = FromMicroseconds(item.waited_us()),
              .prompt_tokens = item.prompt_tokens(),
              .max_tokens = item.max_tokens(),
              .prefix = item.prefix(),
              .tried = {}};
  if (item.tried() != nullptr) {
    for (const flatbuffers::String* name : *item.tried()) {
      ask.tried.push_back(Text(name));
    }
  }
  return PeerMessage(std::move(ask));
}

std::optional<PeerFrame> ReadRefusal(const wire::SlotRefused& item) {
  if (item.cause() > static_cast<std::uint8_t>(EndCause::kStoreUnavailable)) {
    return std::nullopt;
  }
  return PeerMessage(
      SlotRefused{.id = item.id(),
                  .ask = item.ask(),
                  .cause = static_cast<EndCause>(item.cause()),
                  .retry_after = FromMicroseconds(item.retry_after_us())});
}

std::optional<PeerFrame> ReadRelease(const wire::SlotReleased& item) {
  if (item.end() > static_cast<std::uint8_t>(SlotEnd::kNeutral)) {
    return std::nullopt;
  }
  return PeerMessage(SlotReleased{.id = item.id(),
                                  .ask = item.ask(),
                                  .end = static_cast<SlotEnd>(item.end()),
                                  .tokens = item.tokens()});
}

std::optional<PeerFrame> ReadBody(const wire::Frame& frame) {
  switch (frame.body_type()) {
    case wire::Body::Challenge: {
      const auto& item = *frame.body_as_Challenge();
      return PeerChallenge{.version = item.version(),
                           .nonce = Text(item.nonce())};
    }
    case wire::Body::Hello: {
      const auto& item = *frame.body_as_Hello();
      return PeerHello{.version = item.version(),
                       .name = Text(item.name()),
                       .data_centre = Text(item.data_centre()),
                       .revision = item.revision(),
                       .nonce = Text(item.nonce()),
                       .proof = Text(item.proof())};
    }
    case wire::Body::Welcome: {
      const auto& item = *frame.body_as_Welcome();
      return PeerWelcome{.name = Text(item.name()),
                         .data_centre = Text(item.data_centre()),
                         .revision = item.revision(),
                         .proof = Text(item.proof())};
    }
    case wire::Body::Heartbeat: {
      const auto& item = *frame.body_as_Heartbeat();
      return PeerHeartbeat{.revision = item.revision(),
                           .leaving = item.leaving()};
    }
    case wire::Body::AskSlot:
      return ReadAsk(*frame.body_as_AskSlot());
    case wire::Body::WithdrawAsk:
      return PeerMessage(
          WithdrawAsk{.id = frame.body_as_WithdrawAsk()->id(),
                      .ask = frame.body_as_WithdrawAsk()->ask()});
    case wire::Body::SlotGranted: {
      const auto& item = *frame.body_as_SlotGranted();
      return PeerMessage(SlotGranted{
          .id = item.id(), .ask = item.ask(), .backend = Text(item.backend())});
    }
    case wire::Body::SlotRefused:
      return ReadRefusal(*frame.body_as_SlotRefused());
    case wire::Body::TokensSeen: {
      const auto& item = *frame.body_as_TokensSeen();
      return PeerMessage(
          TokensSeen{.id = item.id(),
                     .ask = item.ask(),
                     .tokens = item.tokens(),
                     .elapsed = FromMicroseconds(item.elapsed_us())});
    }
    case wire::Body::SlotReleased:
      return ReadRelease(*frame.body_as_SlotReleased());
    case wire::Body::SlotHeld: {
      const auto& item = *frame.body_as_SlotHeld();
      return PeerMessage(SlotHeld{.id = item.id(),
                                  .ask = item.ask(),
                                  .backend = Text(item.backend()),
                                  .class_name = Text(item.class_name()),
                                  .customer = Text(item.customer())});
    }
    case wire::Body::NONE:
      break;
  }
  return std::nullopt;
}

}  // namespace

std::string EncodePeerFrame(const PeerFrame& frame) {
  FlatBufferBuilder builder;
  builder.Finish(std::visit(BodyBuilder(builder), frame));
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
  std::optional<PeerFrame> frame = ReadBody(*wire::GetFrame(data));
  if (!frame) {
    return tl::unexpected(FrameError::kMalformed);
  }
  return frame;
}

}  // namespace rosemarycove
