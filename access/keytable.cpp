#include "access/keytable.h"

#include "core/error.h"
#include "core/hashing.h"

#include <boost/json.hpp>
#include <openssl/rand.h>

#include <algorithm>

namespace endiveshore::access {

namespace json = boost::json;

namespace {

constexpr std::size_t HashDigits = 64;

std::optional<std::string> memberText(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_string() || value->get_string().empty()) {
        return std::nullopt;
    }
    return std::string(value->get_string().data(), value->get_string().size());
}

}

std::string hashKey(std::string_view key)
{
    return core::sha256Hex(key);
}

std::string generateKey()
{
    // RAND_status() detects a generator without entropy, whose output would be predictable.
    if (RAND_status() != 1) {
        throw core::Error(core::ResultCode::Internal, "the system's random generator is not ready");
    }
    return std::string(KeyPrefix) + core::randomHex(KeyRandomBytes);
}

bool isKeyHash(std::string_view text)
{
    return text.size() == HashDigits && std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
           });
}

std::string serializeGrant(const KeyGrant &grant)
{
    return json::serialize(json::object{{"service", grant.service}, {"workspace", grant.workspace}});
}

std::optional<KeyGrant> parseGrant(std::string_view text)
{
    json::error_code parseError;
    const json::value value = json::parse({text.data(), text.size()}, parseError);
    if (parseError || !value.is_object()) {
        return std::nullopt;
    }
    std::optional<std::string> workspace = memberText(value.get_object(), "workspace");
    std::optional<std::string> service = memberText(value.get_object(), "service");
    if (!workspace || !service) {
        return std::nullopt;
    }
    return KeyGrant{.workspace = std::move(*workspace), .service = std::move(*service)};
}

KeyTable::KeyTable(const Grants &grants)
{
    for (const auto &[hash, grant] : grants) {
        if (isKeyHash(hash)) {
            this->grants.emplace(hash, grant);
        }
    }
}

const KeyGrant *KeyTable::find(std::string_view key) const
{
    if (key.empty()) {
        return nullptr;
    }
    return this->findByHash(hashKey(key));
}

const KeyGrant *KeyTable::findByHash(std::string_view hash) const
{
    const auto found = this->grants.find(std::string(hash));
    return found == this->grants.end() ? nullptr : &found->second;
}

std::size_t KeyTable::size() const
{
    return this->grants.size();
}

}
