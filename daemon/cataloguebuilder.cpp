#include "daemon/cataloguebuilder.h"

#include "core/json.h"
#include "document/documentparser.h"

namespace endiveshore::daemon {

CatalogueBuilder::CatalogueBuilder(ProblemSink sink)
    : sink(std::move(sink))
{
}

std::shared_ptr<const Catalogue> CatalogueBuilder::build(std::uint64_t revision,
                                                         std::span<const CatalogueEntry> entries)
{
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->revision = revision;
    access::KeyTable::Grants grants;
    for (const CatalogueEntry &entry : entries) {
        if (entry.key.starts_with(KeyHashPrefix)) {
            const std::optional<access::KeyGrant> grant = access::parseGrant(entry.value);
            if (!grant) {
                this->sink(entry.key, "the entry is not a valid key grant");
                continue;
            }
            grants.emplace(std::string(entry.key.substr(KeyHashPrefix.size())), *grant);
            continue;
        }
        if (!entry.key.starts_with(ServicePrefix)) {
            continue;
        }
        const std::shared_ptr<const document::ServiceDocument> service = this->parseService(entry);
        if (service) {
            catalogue->services.emplace(service->service, service);
        }
    }
    catalogue->keys = std::make_shared<const access::KeyTable>(grants);
    return catalogue;
}

std::shared_ptr<const document::ServiceDocument> CatalogueBuilder::parseService(const CatalogueEntry &entry)
{
    const auto cached = this->parsed.find(entry.key);
    if (cached != this->parsed.end() && cached->second.version == entry.version) {
        return cached->second.document;
    }
    try {
        const boost::json::object envelope
            = core::valueOrThrow([&entry] { return core::parseJsonObject(entry.value); });
        const boost::json::object *documentObject = core::jsonObject(envelope, "document");
        if (documentObject == nullptr) {
            throw core::Error(core::ResultCode::InvalidDocument, "the entry contains no service document");
        }
        document::ServiceDocument parsedDocument = core::valueOrThrow(
            [documentObject] { return document::parseServiceDocument(boost::json::serialize(*documentObject)); });
        auto service = std::make_shared<const document::ServiceDocument>(std::move(parsedDocument));
        this->parsed[std::string(entry.key)] = {.version = entry.version, .document = service};
        return service;
    } catch (const core::Error &error) {
        this->sink(entry.key, error.message);
        // The last valid version of the document stays in force.
        return cached == this->parsed.end() ? nullptr : cached->second.document;
    }
}

}
