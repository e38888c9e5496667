#pragma once

#include "daemon/fleetview.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace endiveshore::daemon {

/// Key prefixes in the store: the whole configuration, service documents, and granted workspace keys.
inline constexpr std::string_view ConfigurationPrefix = "/endiveshore/";
inline constexpr std::string_view ServicePrefix = "/endiveshore/services/";
inline constexpr std::string_view KeyHashPrefix = "/endiveshore/keys/";

/// One configuration entry that is not deleted.
struct CatalogueEntry
{
    std::string_view key;
    std::string_view value;
    std::uint64_t version = 0;
};

/// Builds catalogues from configuration entries. Parses only the documents that changed since the last build.
class CatalogueBuilder
{
public:
    /// Called for each entry that cannot be used. The operator command validates documents before it stores them, so
    /// such an entry was written by other means or by a newer version.
    using ProblemSink = std::function<void(std::string_view key, std::string_view problem)>;

    explicit CatalogueBuilder(ProblemSink sink);

    std::shared_ptr<const Catalogue> build(std::uint64_t revision, std::span<const CatalogueEntry> entries);

private:
    struct ParsedService
    {
        std::uint64_t version = 0;
        std::shared_ptr<const document::ServiceDocument> document;
    };

    std::shared_ptr<const document::ServiceDocument> parseService(const CatalogueEntry &entry);

    ProblemSink sink;
    std::map<std::string, ParsedService, std::less<>> parsed;
};

}
