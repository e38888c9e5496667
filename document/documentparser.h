#pragma once

#include "core/error.h"
#include "document/servicedocument.h"

#include <string>
#include <string_view>

namespace endiveshore::document {

/// Maximum size of a document in bytes. The store accepts values of up to 1 MB; the difference is left for the
/// object that contains the document in the store.
constexpr std::size_t MaxDocumentBytes = 900'000;

/// Maximum length of a name in bytes.
constexpr std::size_t MaxNameBytes = 64;

/// True for a name of 1 to MaxNameBytes ASCII letters, digits, '-', '_' or '.' that starts with a letter or digit.
bool isIdentifier(std::string_view text);

/// Reads and checks the whole document. Fails with Failure{InvalidDocument}, which holds the path of the first invalid
/// field, for example "databases[0].servers[2].address".
boost::leaf::result<ServiceDocument> parseServiceDocument(std::string_view text);

/// Compact JSON from which parseServiceDocument() reads an equal document.
std::string serializeServiceDocument(const ServiceDocument &document);

}
