#pragma once

#include "net/httpmessage.h"
#include "standins/databasestate.h"

#include <cstdint>
#include <vector>

namespace endiveshore::standins {

/// Statements and commits that a stand-in database server has run, with the peaks and violations of its limits. Tests
/// read the ledger to check the proxy from the outside. Does no I/O.
class DatabaseLedger
{
public:
    void
    recordStatement(const StatementRequest &request, const StatementAnswer &answer, const net::HttpHeaders &headers);
    void recordCommit(const std::string &transaction,
                      const std::string &requestId,
                      const StatementAnswer &answer,
                      const net::HttpHeaders &headers);
    void recordSlotsInUse(int count);
    void recordSlotViolation(const StatementRequest &request);
    void recordConnections(int count);
    void recordConnectionViolation();

    /// At most @p limit records from the index @p from on, with the peaks and violations.
    boost::json::object toJson(std::int64_t from, std::int64_t limit) const;

private:
    struct Record
    {
        std::string operation;
        std::string key;
        std::string requestId;
        std::string transaction;
        std::string workspace;
        std::int64_t position = 0;
        std::int64_t term = 0;
        bool readOnly = false;
        bool replayed = false;
        net::HttpHeaders headers;
    };

    std::vector<Record> records;
    std::int64_t peakSlots = 0;
    std::int64_t peakConnections = 0;
    std::int64_t slotViolations = 0;
    boost::json::array refusedForSlots; ///< The first statements that found no free slot.
    std::int64_t connectionViolations = 0;
};

}
