#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace endiveshore::document {

/// Path of the first object member that occurs twice in the JSON @p text, or nothing. Boost.JSON keeps the last of two
/// members without a word, so an edit of the other one would be lost.
std::optional<std::string> findDuplicateMember(std::string_view text);

}
