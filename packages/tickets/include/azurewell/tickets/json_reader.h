#pragma once

#include "azurewell/units/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell {

/// Parses JSON with comments. Errors: \a code with the line and the parser's message.
Result<nlohmann::json> parseJsonWithComments(std::string_view text, ResultCode code);

/// Reads the fields of one JSON object and keeps the first error, so that code that reads many
/// fields checks once at the end. Errors name the path of the field, such as `customers[2].rate`.
class JsonReader
{
public:
    JsonReader(const nlohmann::json &object, std::string path, std::string &firstError);

    /// The string at \a key. It is an error if it is missing (unless \a fallback is given), empty
    /// or not a string.
    std::string text(const char *key);
    std::string text(const char *key, const std::string &fallback);
    /// The number at \a key. It is an error if it is not in [\a min, \a max], or missing without
    /// \a fallback.
    double number(const char *key, double min, double max);
    double number(const char *key, double min, double max, double fallback);
    bool flag(const char *key, bool fallback);
    /// The strings in the array at \a key; empty if it is missing.
    std::vector<std::string> texts(const char *key);
    /// Readers of the objects in the array at \a key; empty if it is missing.
    std::vector<JsonReader> objects(const char *key);
    /// A reader of the object at \a key; of an empty object if it is missing.
    JsonReader object(const char *key);
    bool has(const char *key) const;
    /// Records an error for any key not in \a known, so that misspelt keys are not ignored.
    void allowOnly(std::initializer_list<std::string_view> known);
    /// Records an error at \a key, unless there is an earlier one.
    void reportError(const std::string &key, const std::string &what);

private:
    const nlohmann::json *find(const char *key) const;
    std::string pathOf(const std::string &key) const;

    const nlohmann::json *source;
    std::string path;
    std::string *firstError;
};

} // namespace azurewell
