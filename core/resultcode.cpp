#include "core/resultcode.h"

#include <array>

namespace endiveshore::core {

namespace {

constexpr std::array ResultCodeTable{
    ResultCodeInfo{ResultCode::Ok, "ok", 200, Outcome::Done},
    ResultCodeInfo{ResultCode::MalformedRequest, "malformed_request", 400, Outcome::NotRun},
    ResultCodeInfo{ResultCode::RequestTooLarge, "request_too_large", 413, Outcome::NotRun},
    ResultCodeInfo{ResultCode::RequestTimeout, "request_timeout", 408, Outcome::NotRun},
    ResultCodeInfo{ResultCode::UnknownPath, "unknown_path", 404, Outcome::NotRun},
    ResultCodeInfo{ResultCode::UnknownService, "unknown_service", 404, Outcome::NotRun},
    ResultCodeInfo{ResultCode::UnknownDatabase, "unknown_database", 404, Outcome::NotRun},
    ResultCodeInfo{ResultCode::UnknownRoute, "unknown_route", 404, Outcome::NotRun},
    ResultCodeInfo{ResultCode::BadStatement, "bad_statement", 400, Outcome::NotRun},
    ResultCodeInfo{ResultCode::InvalidSession, "invalid_session", 400, Outcome::NotRun},
    ResultCodeInfo{ResultCode::SessionAhead, "session_ahead", 409, Outcome::NotRun},
    ResultCodeInfo{ResultCode::UnknownTransaction, "unknown_transaction", 404, Outcome::NotRun},
    ResultCodeInfo{ResultCode::KeyMissing, "key_missing", 401, Outcome::NotRun},
    ResultCodeInfo{ResultCode::KeyRejected, "key_rejected", 401, Outcome::NotRun},
    ResultCodeInfo{ResultCode::WorkspaceMismatch, "workspace_mismatch", 403, Outcome::NotRun},
    ResultCodeInfo{ResultCode::RateExceeded, "rate_exceeded", 429, Outcome::NotRun},
    ResultCodeInfo{ResultCode::QueueFull, "queue_full", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::DeadlineExceeded, "deadline_exceeded", 504, Outcome::NotRun},
    ResultCodeInfo{ResultCode::NoPrimary, "no_primary", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::NoServer, "no_server", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::BackendUnreachable, "backend_unreachable", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::TermChanged, "term_changed", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::ReplicationUnconfirmed, "replication_unconfirmed", 504, Outcome::Unknown},
    ResultCodeInfo{ResultCode::AnswerLost, "answer_lost", 504, Outcome::Unknown},
    ResultCodeInfo{ResultCode::NotHome, "not_home", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::PeerUnreachable, "peer_unreachable", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::TransactionAborted, "transaction_aborted", 409, Outcome::NotRun},
    ResultCodeInfo{ResultCode::ReplicaBehind, "replica_behind", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::NotReady, "not_ready", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::Leaving, "leaving", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::Isolated, "isolated", 503, Outcome::NotRun},
    ResultCodeInfo{ResultCode::InvalidSetting, "invalid_setting", 500, Outcome::NotRun},
    ResultCodeInfo{ResultCode::InvalidDocument, "invalid_document", 422, Outcome::NotRun},
    ResultCodeInfo{ResultCode::DocumentConflict, "document_conflict", 409, Outcome::NotRun},
    ResultCodeInfo{ResultCode::StoreUnavailable, "store_unavailable", 503, Outcome::Unknown},
    ResultCodeInfo{ResultCode::NotFound, "not_found", 404, Outcome::NotRun},
    ResultCodeInfo{ResultCode::NotInForce, "not_in_force", 504, Outcome::Done},
    ResultCodeInfo{ResultCode::Internal, "internal", 500, Outcome::Unknown},
};

}

std::span<const ResultCodeInfo> resultCodes()
{
    return ResultCodeTable;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    for (const ResultCodeInfo &info : ResultCodeTable) {
        if (info.code == code) {
            return info;
        }
    }
    return ResultCodeTable.back();
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

Outcome outcomeFromName(std::string_view name)
{
    if (name == "done") {
        return Outcome::Done;
    }
    return name == "not_run" ? Outcome::NotRun : Outcome::Unknown;
}

ResultCode resultCodeFromNumber(int number)
{
    return resultCodeInfo(static_cast<ResultCode>(number)).code;
}

}
