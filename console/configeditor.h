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

/// Refused change, with the field or the revision that the operator needs to correct the request.
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
    std::int64_t revision; ///< Revision of the current value after a conflict; 0 if there is none.
};

struct EditorOptions
{
    std::string operatorName = "unknown"; ///< Stored with every accepted document.
    std::string operationId; ///< Identifies an accepted document after a lost answer; random if empty.
    core::Duration timeout = std::chrono::seconds(10); ///< Limit for one read or change including its retries.
    core::Duration attemptTimeout = std::chrono::seconds(2); ///< Limit for one call of the store.
    core::Duration retryInterval = std::chrono::milliseconds(100); ///< Pause after a failed call of the store.
};

/// Service document with the metadata stored next to it.
struct StoredDocument
{
    document::ServiceDocument document; ///< The field `revision` is the store revision.
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
    std::string key; ///< Key in the clear; the store holds only its hash.
    std::string hash;
    std::int64_t revision = 0;
};

/// Changes documents and keys in the store. Every change is a compare-and-swap, so that one of two concurrent changes
/// to the same value is refused. A call whose answer is lost is retried; if the document change had taken effect, the
/// retry finds its own operation id in the store. Throws ChangeError if a change is refused, and
/// core::Error(StoreUnavailable) with outcome Unknown if the change may have taken effect.
class ConfigEditor
{
public:
    ConfigEditor(ConfigStore &store, EditorOptions options);

    /// Accepts the document @p text. Its base is the revision in its field `revision`, else @p base, else 0 for a new
    /// document. Returns the revision of the change. Throws ChangeError(InvalidDocument or DocumentConflict), and
    /// core::Error(InvalidSetting) if the field and @p base differ.
    std::int64_t accept(std::string_view text, std::optional<std::int64_t> base);

    /// Removes the document of @p service if its revision is @p base; without @p base, if it does not change between
    /// the read and the removal. The keys of the service stay. Returns the revision of the change. Throws
    /// ChangeError(NotFound or DocumentConflict).
    std::int64_t withdraw(std::string_view service, std::optional<std::int64_t> base);

    /// Document of @p service. Throws ChangeError(NotFound).
    StoredDocument show(std::string_view service);

    /// Creates a key for a workspace of an accepted document. Throws ChangeError(NotFound).
    NewKey grant(std::string_view service, std::string_view workspace);

    /// Removes the key with @p hash. Returns the revision of the change. Throws ChangeError(NotFound).
    std::int64_t revoke(std::string_view hash);

    /// All keys, or those of @p service if it is not empty.
    std::vector<StoredKey> keys(std::string_view service);

    /// Highest revision of a stored document or key. A daemon with the complete configuration reports at least this
    /// revision.
    std::int64_t highestRevision();

    const std::string &operationId() const;

private:
    struct Change
    {
        std::string key;
        std::int64_t base = 0;
        std::optional<std::string> value; ///< Empty to remove the key.
        /// True if @p current, empty for an absent key, is the result of this change. @p possiblyApplied: an earlier
        /// call of the change may have taken effect.
        std::function<bool(const std::optional<StoredValue> &current, bool possiblyApplied)> isOwnResult;
    };

    /// Applies @p change and returns its revision. After a conflict, returns nothing and sets @p current to the stored
    /// value. Sets @p possiblyApplied if a failed call may have taken effect.
    std::optional<std::int64_t> apply(const Change &change, std::optional<StoredValue> &current, bool &possiblyApplied);

    /// Calls @p call with the timeout of one attempt; repeats it after StoreUnavailable until the operation's timeout.
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
