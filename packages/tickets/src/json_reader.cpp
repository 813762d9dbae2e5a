#include "azurewell/tickets/json_reader.h"

#include <algorithm>

namespace azurewell {

using nlohmann::json;

namespace {

const json emptyObject = json::object();

std::string rangeText(double min, double max)
{
    return "must be a number from " + json(min).dump() + " to " + json(max).dump();
}

} // namespace

Result<json> parseJsonWithComments(std::string_view text, ResultCode code)
{
    try {
        return json::parse(text.begin(), text.end(), nullptr, true, true);
    } catch (const json::parse_error &error) {
        const std::size_t end = std::min(error.byte, text.size());
        const auto line = 1
                + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
        return Error{ code, "line " + std::to_string(line) + ": " + error.what() };
    }
}

JsonReader::JsonReader(const json &object, std::string where, std::string &error)
    : source(&object)
    , path(std::move(where))
    , firstError(&error)
{
    if (!object.is_object())
        this->reportError("", "must be an object");
}

void JsonReader::reportError(const std::string &key, const std::string &what)
{
    if (this->firstError->empty())
        *this->firstError = this->pathOf(key) + ": " + what;
}

std::string JsonReader::pathOf(const std::string &key) const
{
    if (key.empty())
        return this->path;
    return this->path.empty() ? key : this->path + "." + key;
}

const json *JsonReader::find(const char *key) const
{
    if (!this->source->is_object())
        return nullptr;
    const auto found = this->source->find(key);
    return found == this->source->end() ? nullptr : &*found;
}

std::string JsonReader::text(const char *key)
{
    const auto *value = this->find(key);
    if (!value || !value->is_string() || value->get_ref<const std::string &>().empty()) {
        this->reportError(key, "must be a string that is not empty");
        return {};
    }
    return value->get<std::string>();
}

std::string JsonReader::text(const char *key, const std::string &fallback)
{
    return this->find(key) ? this->text(key) : fallback;
}

double JsonReader::number(const char *key, double min, double max)
{
    const auto *value = this->find(key);
    const bool isNumber = value && value->is_number();
    if (!isNumber || value->get<double>() < min || value->get<double>() > max) {
        this->reportError(key, rangeText(min, max));
        return min;
    }
    return value->get<double>();
}

double JsonReader::number(const char *key, double min, double max, double fallback)
{
    return this->find(key) ? this->number(key, min, max) : fallback;
}

bool JsonReader::flag(const char *key, bool fallback)
{
    const auto *value = this->find(key);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        this->reportError(key, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> JsonReader::texts(const char *key)
{
    std::vector<std::string> values;
    const auto *array = this->find(key);
    if (!array)
        return values;
    if (!array->is_array()) {
        this->reportError(key, "must be a list of strings");
        return values;
    }
    for (const auto &value : *array) {
        if (value.is_string())
            values.push_back(value.get<std::string>());
        else
            this->reportError(key, "must be a list of strings");
    }
    return values;
}

std::vector<JsonReader> JsonReader::objects(const char *key)
{
    std::vector<JsonReader> readers;
    const auto *array = this->find(key);
    if (!array)
        return readers;
    if (!array->is_array()) {
        this->reportError(key, "must be a list of objects");
        return readers;
    }
    for (std::size_t index = 0; index < array->size(); ++index) {
        const std::string where = this->pathOf(key) + "[" + std::to_string(index) + "]";
        readers.emplace_back((*array)[index], where, *this->firstError);
    }
    return readers;
}

JsonReader JsonReader::object(const char *key)
{
    const auto *value = this->find(key);
    return JsonReader(value ? *value : emptyObject, this->pathOf(key), *this->firstError);
}

bool JsonReader::has(const char *key) const
{
    return this->find(key) != nullptr;
}

void JsonReader::allowOnly(std::initializer_list<std::string_view> known)
{
    if (!this->source->is_object())
        return;
    for (const auto &item : this->source->items()) {
        if (std::find(known.begin(), known.end(), item.key()) == known.end())
            this->reportError(item.key(), "is not a known key");
    }
}

} // namespace azurewell
