#include "net/peerheaders.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace endiveshore::net {

namespace {

std::uint8_t *mutableBytes(std::string_view text)
{
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
}

}

PeerHeaderBlock::PeerHeaderBlock(const HttpHeaders &headers)
{
    this->names.reserve(headers.size());
    for (const auto &[name, value] : headers) {
        std::string lower(name);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) {
            return static_cast<char>(std::tolower(character));
        });
        this->names.push_back(std::move(lower));
    }
}

void PeerHeaderBlock::add(std::string_view name, std::string_view value)
{
    this->fields.push_back({mutableBytes(name), mutableBytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
}

void PeerHeaderBlock::addFields(const HttpHeaders &headers)
{
    static constexpr std::array<std::string_view, 6> ConnectionFields{
        "connection", "host", "keep-alive", "transfer-encoding", "upgrade", "content-length"};
    for (std::size_t index = 0; index < headers.size(); ++index) {
        const std::string &name = this->names[index];
        if (std::find(ConnectionFields.begin(), ConnectionFields.end(), name) == ConnectionFields.end()) {
            this->add(name, headers[index].second);
        }
    }
}

}
