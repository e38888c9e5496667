#pragma once

#include "core/error.h"
#include "document/servicedocument.h"

#include <string>
#include <string_view>

namespace endiveshore::document {

/// Largest accepted document in bytes. The store holds values up to 1 MB; the rest is room for the envelope.
constexpr std::size_t MaxDocumentBytes = 900'000;

/// Largest length of a name in bytes.
constexpr std::size_t MaxNameBytes = 64;

/// True for a name of 1 to MaxNameBytes ASCII letters, digits, '-', '_' or '.', the first a letter or digit.
bool isIdentifier(std::string_view text);

/// Reads and checks the whole document. Fails with Failure{InvalidDocument} that names the first offending field by its
/// path, for example "databases[0].servers[2].address".
boost::leaf::result<ServiceDocument> parseServiceDocument(std::string_view text);

/// Compact JSON that parseServiceDocument() reads back to an equal document.
std::string serializeServiceDocument(const ServiceDocument &document);

}
