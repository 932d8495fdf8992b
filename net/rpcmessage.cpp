#include "net/rpcmessage.h"

namespace sequoiapier::detail {

namespace {

using namespace apache::thrift;

// Limit on one string or container within a message, so that a peer can't announce huge sizes.
constexpr int MaxElementBytes = 4 * 1024 * 1024;
constexpr unsigned char CompactProtocolId = 0x82;

std::shared_ptr<protocol::TProtocol>
makeProtocol(RpcCodec codec, const std::shared_ptr<transport::TMemoryBuffer> &buffer)
{
    using Buffer = transport::TMemoryBuffer;
    if (codec == RpcCodec::Compact) {
        return std::make_shared<protocol::TCompactProtocolT<Buffer>>(buffer, MaxElementBytes,
                                                                     MaxElementBytes);
    }
    return std::make_shared<protocol::TBinaryProtocolT<Buffer>>(buffer, MaxElementBytes,
                                                                MaxElementBytes, true, true);
}

} // namespace

RpcReader::RpcReader(std::string_view message)
    : codec(!message.empty() && std::uint8_t(message.front()) == CompactProtocolId
                ? RpcCodec::Compact
                : RpcCodec::Binary)
    , buffer(std::make_shared<transport::TMemoryBuffer>(
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(message.data())),
          std::uint32_t(message.size())))
    , protocol(makeProtocol(codec, buffer))
{
    protocol->readMessageBegin(method, type, sequence);
}

RpcWriter::RpcWriter(RpcCodec codec)
    : buffer(std::make_shared<transport::TMemoryBuffer>())
    , protocol(makeProtocol(codec, buffer))
{ }

std::string RpcWriter::take()
{
    return buffer->getBufferAsString();
}

} // namespace sequoiapier::detail
