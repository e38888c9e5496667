#pragma once

#include "console/configstore.h"
#include "core/error.h"

#include <functional>
#include <map>
#include <string>

namespace endiveshore::console {

/// In-memory ConfigStore that simulates failed calls and lost answers of the platform's store.
class MemoryStore : public ConfigStore
{
public:
    int failingCalls = 0; ///< Calls that fail before they take effect.
    int lostAnswers = 0; ///< Changes that take effect although their call fails with outcome Unknown.
    std::function<void()> beforeChange; ///< Runs once before the next change.
    std::function<void()> afterLostAnswer; ///< Runs once after the next change whose answer is lost.
    int calls = 0;

    std::optional<StoredValue> get(std::string_view key, core::Duration) override
    {
        this->startCall();
        return this->find(std::string(key));
    }

    RangeResult range(std::string_view prefix, core::Duration) override
    {
        this->startCall();
        RangeResult result{.revision = this->revision};
        for (const auto &[key, value] : this->values) {
            if (key.starts_with(prefix)) {
                result.values.push_back(value);
            }
        }
        return result;
    }

    SwapResult compareAndSwap(std::string_view key, std::int64_t base, std::string_view value, core::Duration) override
    {
        return this->change(std::string(key), base, [&](const std::string &changedKey) {
            this->values[changedKey] = {.key = changedKey, .value = std::string(value), .revision = this->revision};
        });
    }

    SwapResult remove(std::string_view key, std::int64_t base, core::Duration) override
    {
        return this->change(std::string(key), base, [&](const std::string &changedKey) {
            this->values.erase(changedKey);
            this->removals[changedKey] = this->revision;
        });
    }

    std::int64_t removalRevision(std::string_view key, std::int64_t after, core::Duration) override
    {
        this->startCall();
        const auto found = this->removals.find(std::string(key));
        if (found == this->removals.end() || found->second <= after) {
            throw unavailable(core::Outcome::NotRun);
        }
        return found->second;
    }

    std::map<std::string, StoredValue> values;
    std::map<std::string, std::int64_t> removals; ///< Revision of the last removal by key.
    std::int64_t revision = 10;

private:
    static core::Error unavailable(core::Outcome outcome)
    {
        core::Error error(core::ResultCode::StoreUnavailable, "simulated store fault");
        error.outcome = outcome;
        return error;
    }

    void startCall()
    {
        ++this->calls;
        if (this->failingCalls > 0) {
            --this->failingCalls;
            throw unavailable(core::Outcome::NotRun);
        }
    }

    std::optional<StoredValue> find(const std::string &key) const
    {
        const auto found = this->values.find(key);
        return found == this->values.end() ? std::nullopt : std::optional(found->second);
    }

    SwapResult
    change(const std::string &key, std::int64_t base, const std::function<void(const std::string &changedKey)> &apply)
    {
        this->startCall();
        if (const auto hook = std::exchange(this->beforeChange, nullptr)) {
            hook();
        }
        const std::optional<StoredValue> current = this->find(key);
        if ((current ? current->revision : 0) != base) {
            return {.swapped = false, .revision = 0, .current = current};
        }
        const std::int64_t changeRevision = ++this->revision;
        apply(key);
        if (this->lostAnswers > 0) {
            --this->lostAnswers;
            if (const auto hook = std::exchange(this->afterLostAnswer, nullptr)) {
                hook();
            }
            throw unavailable(core::Outcome::Unknown);
        }
        return {.swapped = true, .revision = changeRevision, .current = std::nullopt};
    }
};

/// Valid document of the service rota-db with the workspaces plaza and museo. Tests use different @p slots to
/// distinguish documents.
inline std::string sampleDocument(int slots, std::int64_t revision = -1)
{
    const std::string revisionField = revision < 0 ? "" : R"("revision":)" + std::to_string(revision) + ",";
    return R"({"service":"rota-db",)" + revisionField + R"("regions":[{"name":"Asturias","data_centres":["Oviedo"]}],
        "databases":[{"name":"coats","servers":[
            {"id":"coats-1","address":"127.0.0.1:25001","data_centre":"Oviedo"},
            {"id":"coats-2","address":"127.0.0.1:25002","data_centre":"Oviedo"},
            {"id":"coats-3","address":"127.0.0.1:25003","data_centre":"Oviedo"}],
            "slots":)"
        + std::to_string(slots) + R"(,"connection_limit":60,"initial_primary":"coats-1"}],
        "routes":[{"name":"book","kind":"write"}],
        "workspaces":[{"name":"plaza","rate_per_s":50,"burst":100},{"name":"museo","rate_per_s":5,"burst":10}]})";
}

}
