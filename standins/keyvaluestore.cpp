#include "standins/keyvaluestore.h"

#include "core/json.h"

#include <array>

namespace endiveshore::standins {

namespace json = boost::json;

namespace {

struct KindName
{
    Statement::Kind kind;
    std::string_view name;
};

constexpr std::array KindNames{
    KindName{Statement::Kind::Put, "put"},
    KindName{Statement::Kind::Get, "get"},
    KindName{Statement::Kind::Append, "append"},
    KindName{Statement::Kind::Add, "add"},
    KindName{Statement::Kind::Sleep, "sleep"},
};

}

bool Statement::isWrite() const
{
    return this->kind == Kind::Put || this->kind == Kind::Append || this->kind == Kind::Add;
}

json::object Statement::toJson() const
{
    json::object object;
    for (const KindName &entry : KindNames) {
        if (entry.kind == this->kind) {
            object["op"] = entry.name;
        }
    }
    switch (this->kind) {
    case Kind::Put:
    case Kind::Append:
        object["value"] = this->value;
        break;
    case Kind::Add:
        object["amount"] = this->amount;
        break;
    case Kind::Sleep:
        object["ms"] = this->sleepMs;
        return object;
    case Kind::Get:
        break;
    }
    object["key"] = this->key;
    return object;
}

std::optional<Statement> Statement::parse(const json::object &object)
{
    const std::string name = core::jsonString(object, "op");
    for (const KindName &entry : KindNames) {
        if (entry.name != name) {
            continue;
        }
        Statement statement;
        statement.kind = entry.kind;
        statement.key = core::jsonString(object, "key");
        const bool needsValue = entry.kind == Kind::Put || entry.kind == Kind::Append;
        if (const json::value *value = object.if_contains("value"); needsValue && value != nullptr) {
            statement.value = *value;
        } else if (needsValue) {
            return std::nullopt;
        }
        statement.amount = core::jsonInteger(object, "amount");
        statement.sleepMs = core::jsonInteger(object, "ms");
        const bool needsKey = entry.kind != Kind::Sleep;
        if ((needsKey && statement.key.empty()) || statement.sleepMs < 0) {
            return std::nullopt;
        }
        return statement;
    }
    return std::nullopt;
}

std::optional<json::value> KeyValueStore::execute(const Statement &statement)
{
    switch (statement.kind) {
    case Statement::Kind::Put:
        this->values[statement.key] = statement.value;
        return statement.value;
    case Statement::Kind::Get: {
        const json::value *value = this->find(statement.key);
        return value != nullptr ? *value : json::value(nullptr);
    }
    case Statement::Kind::Append: {
        const json::value *current = this->find(statement.key);
        if (current != nullptr && !current->is_array()) {
            return std::nullopt;
        }
        json::value &value = this->values[statement.key];
        if (!value.is_array()) {
            value.emplace_array();
        }
        value.as_array().push_back(statement.value);
        return json::value(value.as_array().size());
    }
    case Statement::Kind::Add: {
        const json::value *current = this->find(statement.key);
        if (current != nullptr && !current->is_int64()) {
            return std::nullopt;
        }
        const std::int64_t sum = (current != nullptr ? current->as_int64() : 0) + statement.amount;
        this->values[statement.key] = sum;
        return json::value(sum);
    }
    case Statement::Kind::Sleep:
        return json::value(nullptr);
    }
    return std::nullopt;
}

const json::value *KeyValueStore::find(const std::string &key) const
{
    const auto found = this->values.find(key);
    return found != this->values.end() ? &found->second : nullptr;
}

void KeyValueStore::assign(const std::string &key, json::value value)
{
    this->values[key] = std::move(value);
}

void KeyValueStore::clear()
{
    this->values.clear();
}

}
