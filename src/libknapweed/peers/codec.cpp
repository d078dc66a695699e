// The decoder table is generated from the PeerMessage variant, so the two cannot disagree about type numbers.

#include "peers/codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <exception>
#include <memory>
#include <utility>

namespace knapweed
{

namespace
{

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = TCompactProtocolT<TMemoryBuffer>;

/// Maximum number of elements in a list. Thrift allocates the declared size before it reads the elements, so without a limit
/// a short malformed message could exhaust the memory.
constexpr std::int32_t maxContainerElements = 65536;

using Decoder = PeerMessage (*)(CompactProtocol &);

template<typename Message>
PeerMessage decodeAs(CompactProtocol &protocol)
{
    Message message;
    message.read(&protocol);
    return message;
}

template<std::size_t... Indices>
constexpr std::array<Decoder, sizeof...(Indices)> makeDecoders(std::index_sequence<Indices...>)
{
    return {&decodeAs<std::variant_alternative_t<Indices, PeerMessage>>...};
}

constexpr std::array<Decoder, std::variant_size_v<PeerMessage>> decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<PeerMessage>>());

} // namespace

std::string encodeMessage(const PeerMessage &message)
{
    const std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
    const std::uint8_t type = static_cast<std::uint8_t>(message.index());
    buffer->write(&type, 1);
    CompactProtocol protocol(buffer);
    std::visit(
        [&protocol](const auto &body) {
            body.write(&protocol);
        },
        message);
    return buffer->getBufferAsString();
}

Result<PeerMessage, CodecError> decodeMessage(const std::string &bytes)
{
    if (bytes.empty()) {
        return CodecError {"message is empty: expected at least a type byte"};
    }
    const std::size_t type = static_cast<std::uint8_t>(bytes.front());
    if (type >= decoders.size()) {
        return CodecError {"unknown message type " + std::to_string(type)};
    }
    try {
        std::string body = bytes.substr(1);
        const std::shared_ptr<TMemoryBuffer> buffer =
            std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t *>(body.data()), static_cast<std::uint32_t>(body.size()));
        CompactProtocol protocol(buffer, static_cast<std::int32_t>(bytes.size()), maxContainerElements);
        PeerMessage message = decoders.at(type)(protocol);
        if (buffer->available_read() != 0) {
            return CodecError {std::to_string(buffer->available_read()) + " unexpected bytes after the end of the message"};
        }
        return message;
    } catch (const std::exception &failure) {
        return CodecError {failure.what()};
    }
}

} // namespace knapweed
