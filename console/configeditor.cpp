#include "console/configeditor.h"

#include "core/hashing.h"
#include "core/json.h"
#include "document/documentparser.h"

#include <algorithm>
#include <thread>

namespace endiveshore::console {

namespace json = boost::json;

namespace {

constexpr std::string_view RootPrefix = "/endiveshore/";
constexpr std::string_view ServicePrefix = "/endiveshore/services/";
constexpr std::string_view KeyPrefix = "/endiveshore/keys/";
constexpr std::size_t RandomOperationIdBytes = 16;

document::ServiceDocument parseDocument(std::string_view text)
{
    return boost::leaf::try_handle_all([text] { return document::parseServiceDocument(text); },
                                       [](const core::Failure &failure) -> document::ServiceDocument {
                                           throw ChangeError(failure.code, failure.message, failure.path, 0);
                                       },
                                       []() -> document::ServiceDocument {
                                           throw core::Error(core::ResultCode::Internal,
                                                             "the document was refused without a reason");
                                       });
}

json::object parseEnvelope(std::string_view text)
{
    json::error_code parseError;
    json::value value = json::parse({text.data(), text.size()}, parseError);
    return parseError || !value.is_object() ? json::object() : std::move(value.as_object());
}

std::string describe(const StoredValue &value)
{
    const json::object envelope = parseEnvelope(value.value);
    return "revision " + std::to_string(value.revision) + ", set by "
        + core::jsonString(envelope, "operator", "an unknown operator");
}

ChangeError conflict(const std::optional<StoredValue> &current, std::int64_t base, bool possiblyApplied)
{
    std::string message = current ? "the document is at " + describe(*current) : "the document does not exist";
    message += base == 0 ? "; the change was meant to create a new document"
                         : "; the change was based on revision " + std::to_string(base);
    if (possiblyApplied) {
        message += "; an answer of the store was lost, so the change may have been in force in the meantime";
    }
    ChangeError error(core::ResultCode::DocumentConflict, std::move(message), {}, current ? current->revision : 0);
    error.outcome = possiblyApplied ? core::Outcome::Unknown : core::Outcome::NotRun;
    return error;
}

void requireIdentifier(std::string_view name, std::string_view what)
{
    if (!document::isIdentifier(name)) {
        throw core::Error(core::ResultCode::InvalidSetting, "not a valid name of a " + std::string(what));
    }
}

}

ConfigEditor::ConfigEditor(ConfigStore &store, EditorOptions options)
    : store(store)
    , options(std::move(options))
{
    if (this->options.operationId.empty()) {
        this->options.operationId = core::randomHex(RandomOperationIdBytes);
    }
}

const std::string &ConfigEditor::operationId() const
{
    return this->options.operationId;
}

core::Duration ConfigEditor::remaining(core::TimePoint deadline) const
{
    return std::min(this->options.attemptTimeout, deadline - core::Clock::now());
}

template<typename Call>
auto ConfigEditor::retry(Call call)
{
    const core::TimePoint deadline = core::Clock::now() + this->options.timeout;
    while (true) {
        try {
            return call(this->remaining(deadline));
        } catch (const core::Error &error) {
            const bool final = core::Clock::now() + this->options.retryInterval >= deadline;
            if (error.code != core::ResultCode::StoreUnavailable || final) {
                throw;
            }
        }
        std::this_thread::sleep_for(this->options.retryInterval);
    }
}

std::optional<StoredValue> ConfigEditor::read(std::string_view key)
{
    try {
        return this->retry([&](core::Duration timeout) { return this->store.get(key, timeout); });
    } catch (core::Error &error) {
        // A read changes nothing, so its outcome is NotRun even if only the answer was lost.
        error.outcome = core::Outcome::NotRun;
        throw;
    }
}

RangeResult ConfigEditor::readAll(std::string_view prefix)
{
    try {
        return this->retry([&](core::Duration timeout) { return this->store.range(prefix, timeout); });
    } catch (core::Error &error) {
        error.outcome = core::Outcome::NotRun;
        throw;
    }
}

std::optional<std::int64_t>
ConfigEditor::apply(const Change &change, std::optional<StoredValue> &current, bool &possiblyApplied)
{
    possiblyApplied = false;
    SwapResult result;
    try {
        result = this->retry([&](core::Duration timeout) {
            try {
                return change.value ? this->store.compareAndSwap(change.key, change.base, *change.value, timeout)
                                    : this->store.remove(change.key, change.base, timeout);
            } catch (const core::Error &error) {
                possiblyApplied = possiblyApplied || error.outcome != core::Outcome::NotRun;
                throw;
            }
        });
    } catch (core::Error &error) {
        // The last call may have failed before it was sent although an earlier call took effect.
        error.outcome = possiblyApplied ? core::Outcome::Unknown : core::Outcome::NotRun;
        throw;
    }
    if (result.swapped) {
        return result.revision;
    }
    if (change.isOwnResult(result.current, possiblyApplied)) {
        return result.current ? result.current->revision : this->removalRevision(change.key, change.base);
    }
    current = std::move(result.current);
    return std::nullopt;
}

std::int64_t ConfigEditor::removalRevision(std::string_view key, std::int64_t base)
{
    try {
        // The current revision of the store cannot replace the revision of the removal: it also counts changes to keys
        // that no daemon reads, so that no daemon might ever report it.
        return this->retry([&](core::Duration timeout) { return this->store.removalRevision(key, base, timeout); });
    } catch (core::Error &error) {
        error.outcome = core::Outcome::Done;
        error.message = "the removal took effect, but its revision is not known: " + error.message;
        throw;
    }
}

std::int64_t ConfigEditor::accept(std::string_view text, std::optional<std::int64_t> base)
{
    document::ServiceDocument document = parseDocument(text);
    if (document.revision && base && *document.revision != *base) {
        throw core::Error(core::ResultCode::InvalidSetting,
                          "--base differs from the field revision of the document; leave out --base");
    }
    const std::int64_t baseRevision = document.revision.value_or(base.value_or(0));
    document.revision.reset();
    const json::object envelope{{"operation_id", this->options.operationId},
                                {"operator", this->options.operatorName},
                                {"document", json::parse(document::serializeServiceDocument(document))}};
    const Change change{.key = std::string(ServicePrefix) + document.service,
                        .base = baseRevision,
                        .value = json::serialize(envelope),
                        .isOwnResult = [&envelope](const std::optional<StoredValue> &current, bool) {
                            // The document is compared as well, because an operator can pass the same operation id
                            // with another document.
                            const json::object stored = current ? parseEnvelope(current->value) : json::object();
                            return !stored.empty() && stored.contains("document")
                                && core::jsonString(stored, "operation_id") == envelope.at("operation_id").as_string()
                                && stored.at("document") == envelope.at("document");
                        }};
    std::optional<StoredValue> current;
    bool possiblyApplied = false;
    if (const auto revision = this->apply(change, current, possiblyApplied)) {
        return *revision;
    }
    throw conflict(current, baseRevision, possiblyApplied);
}

std::int64_t ConfigEditor::withdraw(std::string_view service, std::optional<std::int64_t> base)
{
    requireIdentifier(service, "service");
    const std::string key = std::string(ServicePrefix) + std::string(service);
    const std::optional<StoredValue> stored = this->read(key);
    if (!stored) {
        throw ChangeError(core::ResultCode::NotFound, "no document of the service " + std::string(service), {}, 0);
    }
    const Change change{.key = key,
                        .base = base.value_or(stored->revision),
                        .value = std::nullopt,
                        .isOwnResult = [](const std::optional<StoredValue> &current, bool possiblyApplied) {
                            return !current && possiblyApplied;
                        }};
    std::optional<StoredValue> current;
    bool possiblyApplied = false;
    if (const auto revision = this->apply(change, current, possiblyApplied)) {
        return *revision;
    }
    throw conflict(current, change.base, possiblyApplied);
}

std::optional<StoredDocument> ConfigEditor::findDocument(std::string_view service)
{
    requireIdentifier(service, "service");
    const std::string key = std::string(ServicePrefix) + std::string(service);
    const std::optional<StoredValue> stored = this->read(key);
    if (!stored) {
        return std::nullopt;
    }
    const json::object envelope = parseEnvelope(stored->value);
    const json::object *object = core::jsonObject(envelope, "document");
    StoredDocument found{.document = parseDocument(object == nullptr ? "null" : json::serialize(*object)),
                         .operationId = core::jsonString(envelope, "operation_id"),
                         .operatorName = core::jsonString(envelope, "operator")};
    found.document.revision = stored->revision;
    return found;
}

StoredDocument ConfigEditor::show(std::string_view service)
{
    std::optional<StoredDocument> found = this->findDocument(service);
    if (!found) {
        throw ChangeError(core::ResultCode::NotFound, "no document of the service " + std::string(service), {}, 0);
    }
    return std::move(*found);
}

NewKey ConfigEditor::grant(std::string_view service, std::string_view workspace)
{
    requireIdentifier(workspace, "workspace");
    const StoredDocument stored = this->show(service);
    if (stored.document.findWorkspace(workspace) == nullptr) {
        throw ChangeError(core::ResultCode::NotFound,
                          "the document of " + std::string(service) + " has no workspace " + std::string(workspace),
                          {},
                          0);
    }
    NewKey created{.key = access::generateKey()};
    created.hash = access::hashKey(created.key);
    const access::KeyGrant grant{.workspace = std::string(workspace), .service = std::string(service)};
    const Change change{.key = std::string(KeyPrefix) + created.hash,
                        .base = 0,
                        .value = access::serializeGrant(grant),
                        .isOwnResult = [](const std::optional<StoredValue> &current, bool) {
                            // No other call can have stored the hash of a new random key.
                            return current.has_value();
                        }};
    std::optional<StoredValue> current;
    bool possiblyApplied = false;
    try {
        const auto revision = this->apply(change, current, possiblyApplied);
        if (!revision) {
            throw core::Error(core::ResultCode::Internal, "the store refused a new key but returned no current value");
        }
        created.revision = *revision;
    } catch (core::Error &error) {
        if (error.outcome == core::Outcome::Unknown) {
            error.message += "; the key may exist, revoke its hash " + created.hash;
        }
        throw;
    }
    return created;
}

std::int64_t ConfigEditor::revoke(std::string_view hash)
{
    if (!access::isKeyHash(hash)) {
        throw core::Error(core::ResultCode::InvalidSetting, "not a key hash of 64 hexadecimal digits");
    }
    const std::string key = std::string(KeyPrefix) + std::string(hash);
    const std::optional<StoredValue> stored = this->read(key);
    if (!stored) {
        throw ChangeError(core::ResultCode::NotFound, "no key with the hash " + std::string(hash), {}, 0);
    }
    const Change change{.key = key,
                        .base = stored->revision,
                        .value = std::nullopt,
                        .isOwnResult = [](const std::optional<StoredValue> &current, bool) {
                            // If another operator revoked the key in the meantime, the revocation counts as done.
                            return !current;
                        }};
    std::optional<StoredValue> current;
    bool possiblyApplied = false;
    if (const auto revision = this->apply(change, current, possiblyApplied)) {
        return *revision;
    }
    throw conflict(current, change.base, possiblyApplied);
}

std::vector<StoredKey> ConfigEditor::keys(std::string_view service)
{
    const RangeResult stored = this->readAll(KeyPrefix);
    std::vector<StoredKey> keys;
    for (const StoredValue &value : stored.values) {
        std::optional<access::KeyGrant> grant = access::parseGrant(value.value);
        if (!grant || (!service.empty() && grant->service != service)) {
            continue;
        }
        keys.push_back(
            {.hash = value.key.substr(KeyPrefix.size()), .grant = std::move(*grant), .revision = value.revision});
    }
    return keys;
}

std::int64_t ConfigEditor::highestRevision()
{
    const RangeResult stored = this->readAll(RootPrefix);
    std::int64_t highest = 0;
    for (const StoredValue &value : stored.values) {
        highest = std::max(highest, value.revision);
    }
    return highest;
}

}
