#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace endiveshore::document {

/// Path of the first object member that occurs twice in the JSON @p text, or std::nullopt. Boost.JSON silently keeps
/// only the last of two members with the same name, so an edit of the first member would be lost.
std::optional<std::string> findDuplicateMember(std::string_view text);

}
