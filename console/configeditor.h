#pragma once

#include "access/keytable.h"
#include "console/configstore.h"
#include "core/error.h"
#include "document/servicedocument.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::console {

/// Refusal of a change, with what the operator needs to go on.
class ChangeError : public core::Error
{
public:
    ChangeError(core::ResultCode code, std::string message, std::string path, std::int64_t revision)
        : core::Error(code, std::move(message))
        , path(std::move(path))
        , revision(revision)
    {
    }

    std::string path; ///< Path of the offending field of a refused document.
    std::int64_t revision; ///< Revision of the value that won a conflict, otherwise 0.
};

struct EditorOptions
{
    std::string operatorName = "unknown"; ///< Stored with every accepted document.
    std::string operationId; ///< Recognises the change after a lost answer; random if empty.
    core::Duration timeout = std::chrono::seconds(10); ///< For a whole operation with its retries.
    core::Duration attemptTimeout = std::chrono::seconds(2); ///< For one call of the store.
    core::Duration retryInterval = std::chrono::milliseconds(100); ///< Between calls after a failed one.
};

/// A service document as it is stored.
struct StoredDocument
{
    document::ServiceDocument document; ///< With its revision.
    std::string operationId;
    std::string operatorName;
};

struct StoredKey
{
    std::string hash;
    access::KeyGrant grant;
    std::int64_t revision = 0;
};

struct NewKey
{
    std::string key; ///< In the clear; it exists nowhere else.
    std::string hash;
    std::int64_t revision = 0;
};

/// Changes documents and keys in the store. Every change is a compare-and-swap, so that of two racing operators one is
/// refused. A call whose answer is lost is repeated; if it had taken effect, the repetition finds the own operation id.
/// Throws ChangeError, and core::Error(StoreUnavailable) whose outcome is Unknown if the change may have taken effect.
class ConfigEditor
{
public:
    ConfigEditor(ConfigStore &store, EditorOptions options);

    /// Accepts the document @p text on top of the revision in its field `revision`, else @p base, else as a new
    /// document. Returns the revision of the change. Throws ChangeError(InvalidDocument or DocumentConflict).
    std::int64_t accept(std::string_view text, std::optional<std::int64_t> base);

    /// Removes the document of @p service if its revision is @p base, or as it is now. Keys stay.
    /// Returns the revision of the change. Throws ChangeError(NotFound or DocumentConflict).
    std::int64_t withdraw(std::string_view service, std::optional<std::int64_t> base);

    /// Throws ChangeError(NotFound).
    StoredDocument show(std::string_view service);

    /// Creates a key for a workspace of an accepted document. Throws ChangeError(NotFound).
    NewKey grant(std::string_view service, std::string_view workspace);

    /// Removes the key with @p hash. Returns the revision of the change. Throws ChangeError(NotFound).
    std::int64_t revoke(std::string_view hash);

    /// All keys, or those of @p service if it is not empty.
    std::vector<StoredKey> keys(std::string_view service);

    /// Highest revision of a document or key, the least that a daemon with the whole configuration reports.
    std::int64_t highestRevision();

    const std::string &operationId() const;

private:
    struct Change
    {
        std::string key;
        std::int64_t base = 0;
        std::optional<std::string> value; ///< Nothing removes the key.
        /// True if @p current, or its absence, is the result of this change.
        std::function<bool(const std::optional<StoredValue> &current, bool possiblyApplied)> isOwnResult;
    };

    /// Applies @p change. Returns its revision, or nothing with @p current set if another value won.
    std::optional<std::int64_t> apply(const Change &change, std::optional<StoredValue> &current, bool &possiblyApplied);

    /// Repeats @p call with the time-out of an attempt until it does not throw StoreUnavailable or time is up.
    template<typename Call>
    auto retry(Call call);

    std::optional<StoredValue> read(std::string_view key);
    RangeResult readAll(std::string_view prefix);
    std::int64_t removalRevision(std::string_view key, std::int64_t base);
    core::Duration remaining(core::TimePoint deadline) const;
    std::optional<StoredDocument> findDocument(std::string_view service);

    ConfigStore &store;
    EditorOptions options;
};

}
