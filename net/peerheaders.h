#pragma once

#include "net/httpmessage.h"

#include <nghttp2/nghttp2.h>

#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::net {

/// Fields of one HTTP/2 header block. The names and values added must outlive the block.
class PeerHeaderBlock
{
public:
    /// Prepares the names of @p headers in lower case, as HTTP/2 requires.
    explicit PeerHeaderBlock(const HttpHeaders &headers);

    void add(std::string_view name, std::string_view value);

    /// Adds the ordinary fields of @p headers except those that HTTP/2 forbids or derives.
    void addFields(const HttpHeaders &headers);

    std::vector<nghttp2_nv> fields;

private:
    std::vector<std::string> names;
};

}
