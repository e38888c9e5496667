#include "document/duplicatemembers.h"

#include "document/fieldreaders.h"

#include <boost/json/basic_parser_impl.hpp>

#include <set>
#include <vector>

namespace endiveshore::document {

namespace json = boost::json;

namespace {

// No limit: the caller has limited the size of the whole text.
constexpr std::size_t MaxSize = std::numeric_limits<std::size_t>::max();

/// Receives the events of the parser and tracks the path of the current value.
class MemberHandler
{
public:
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_object_size = MaxSize;
    static constexpr std::size_t max_array_size = MaxSize;
    static constexpr std::size_t max_key_size = MaxSize;
    static constexpr std::size_t max_string_size = MaxSize;

    std::optional<std::string> duplicate;

    bool on_document_begin(json::error_code &)
    {
        return true;
    }

    bool on_document_end(json::error_code &)
    {
        return true;
    }

    bool on_object_begin(json::error_code &)
    {
        this->startValue();
        this->levels.emplace_back();
        return true;
    }

    bool on_object_end(std::size_t, json::error_code &)
    {
        this->levels.pop_back();
        return true;
    }

    bool on_array_begin(json::error_code &)
    {
        this->startValue();
        this->levels.push_back({.isArray = true});
        return true;
    }

    bool on_array_end(std::size_t, json::error_code &)
    {
        this->levels.pop_back();
        return true;
    }

    bool on_key_part(json::string_view part, std::size_t, json::error_code &)
    {
        this->key.append(part.data(), part.size());
        return true;
    }

    bool on_key(json::string_view part, std::size_t, json::error_code &error)
    {
        this->key.append(part.data(), part.size());
        Level &level = this->levels.back();
        level.member = std::move(this->key);
        this->key.clear();
        if (level.members.insert(level.member).second) {
            return true;
        }
        this->duplicate = this->path();
        error = json::error::extra_data;
        return false;
    }

    bool on_string_part(json::string_view, std::size_t, json::error_code &)
    {
        return true;
    }

    bool on_string(json::string_view, std::size_t, json::error_code &)
    {
        return this->startValue();
    }

    bool on_number_part(json::string_view, json::error_code &)
    {
        return true;
    }

    bool on_int64(std::int64_t, json::string_view, json::error_code &)
    {
        return this->startValue();
    }

    bool on_uint64(std::uint64_t, json::string_view, json::error_code &)
    {
        return this->startValue();
    }

    bool on_double(double, json::string_view, json::error_code &)
    {
        return this->startValue();
    }

    bool on_bool(bool, json::error_code &)
    {
        return this->startValue();
    }

    bool on_null(json::error_code &)
    {
        return this->startValue();
    }

    bool on_comment_part(json::string_view, json::error_code &)
    {
        return true;
    }

    bool on_comment(json::string_view, json::error_code &)
    {
        return true;
    }
    // NOLINTEND(readability-identifier-naming)

private:
    struct Level
    {
        bool isArray = false;
        std::size_t elements = 0; ///< Number of array elements read, including the current element.
        std::string member; ///< Name of the current member of an object.
        std::set<std::string> members;
    };

    bool startValue()
    {
        if (!this->levels.empty() && this->levels.back().isArray) {
            ++this->levels.back().elements;
        }
        return true;
    }

    std::string path() const
    {
        std::string path;
        for (const Level &level : this->levels) {
            path = level.isArray ? elementPath(path, level.elements - 1) : memberPath(path, level.member);
        }
        return path;
    }

    std::vector<Level> levels;
    std::string key; ///< Received parts of the key that is being read.
};

}

std::optional<std::string> findDuplicateMember(std::string_view text)
{
    json::basic_parser<MemberHandler> parser{json::parse_options()};
    json::error_code parseError;
    parser.write_some(false, text.data(), text.size(), parseError);
    return parser.handler().duplicate;
}

}
