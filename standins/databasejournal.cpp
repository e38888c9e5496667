#include "core/json.h"
#include "standins/databasestate.h"

/// Journal of DatabaseState: the state that a database server keeps on disk across a restart.
namespace endiveshore::standins {

namespace json = boost::json;

void DatabaseState::setJournal(std::function<void(const json::object &record)> journal)
{
    this->journal = std::move(journal);
}

void DatabaseState::journalState() const
{
    if (this->journal) {
        this->journal(json::object{{"term", this->currentTerm},
                                   {"fenced_term", this->grantedTerm},
                                   {"owner", this->fenceOwner},
                                   {"primary", this->primary},
                                   {"follows", this->followedAddress},
                                   {"reconciled", this->reconciled}});
    }
}

void DatabaseState::journalEntry(const LogEntry &entry) const
{
    if (this->journal) {
        this->journal(json::object{{"entry", entry.toJson()}});
    }
}

void DatabaseState::restore(const json::object &record)
{
    this->upToDateMs = 0;
    if (const json::object *entry = core::jsonObject(record, "entry")) {
        this->entries.append(LogEntry::fromJson(*entry));
        this->apply(this->received());
        return;
    }
    if (record.contains("cut")) {
        const std::int64_t position = core::jsonInteger(record, "cut");
        this->entries.truncate(position);
        this->rebuild(position);
        return;
    }
    this->currentTerm = core::jsonInteger(record, "term", this->currentTerm);
    this->grantedTerm = core::jsonInteger(record, "fenced_term", this->grantedTerm);
    this->fenceOwner = core::jsonString(record, "owner");
    this->primary = core::jsonBool(record, "primary");
    this->followedAddress = core::jsonString(record, "follows");
    this->reconciled = core::jsonBool(record, "reconciled", true);
}

}
