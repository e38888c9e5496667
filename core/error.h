#pragma once

#include "core/resultcode.h"

#include <boost/leaf.hpp>

#include <exception>
#include <string>
#include <type_traits>
#include <utility>

namespace endiveshore::core {

/// Error object carried by boost::leaf::result in synchronous libraries.
struct Failure
{
    ResultCode code = ResultCode::Internal;
    std::string message;
    std::string path; ///< JSON path of the offending field, if the failure concerns a document.
};

/// Exception thrown by coroutines, since LEAF's handler contexts do not survive a suspension.
class Error : public std::exception
{
public:
    Error(ResultCode code, std::string message)
        : code(code)
        , outcome(resultCodeInfo(code).outcome)
        , message(std::move(message))
    {
    }

    const char *what() const noexcept override
    {
        return this->message.c_str();
    }

    ResultCode code;
    Outcome outcome; ///< Defaults to the outcome of the code; adapters replace the default if they know the outcome.
    std::string message;
};

/// Runs @p produce, which returns a leaf::result, and turns a Failure into a thrown Error.
template<typename Produce>
auto valueOrThrow(Produce &&produce)
{
    using Value = std::remove_cvref_t<decltype(produce().value())>;
    return boost::leaf::try_handle_all(
        std::forward<Produce>(produce),
        [](const Failure &failure) -> Value {
            throw Error(failure.code, failure.path.empty() ? failure.message : failure.path + ": " + failure.message);
        },
        []() -> Value { throw Error(ResultCode::Internal, "unclassified failure"); });
}

}
