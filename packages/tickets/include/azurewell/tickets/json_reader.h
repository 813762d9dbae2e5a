#pragma once

#include "azurewell/units/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace azurewell {

/// Parses JSON with comments. Errors: \a code with the line and what was expected.
Result<nlohmann::json> parseJsonWithComments(std::string_view text, ResultCode code);

/// Reads the fields of one JSON object and remembers the first complaint, so that a reader of many
/// fields needs one check at its end. Paths in complaints look like `customers[2].rate`.
class JsonReader
{
public:
    JsonReader(const nlohmann::json &object, std::string path, std::string &complaint);

    /// The string at \a key; a complaint where it is missing (unless \a fallback is given) or no
    /// string.
    std::string text(const char *key);
    std::string text(const char *key, const std::string &fallback);
    /// A number in [\a least, \a most].
    double number(const char *key, double least, double most);
    double number(const char *key, double least, double most, double fallback);
    bool flag(const char *key, bool fallback);
    /// The strings in the array at \a key; empty where it is missing.
    std::vector<std::string> texts(const char *key);
    /// The objects in the array at \a key, each with its path; empty where it is missing.
    std::vector<JsonReader> objects(const char *key);
    /// The object at \a key; a null object where it is missing.
    JsonReader object(const char *key);
    bool has(const char *key) const;
    /// Complains of any key that is not in \a known: a misspelt key must not pass silently.
    void allowOnly(std::initializer_list<std::string_view> known);
    void complain(const std::string &key, const std::string &what);

private:
    const nlohmann::json *find(const char *key) const;
    std::string pathOf(const std::string &key) const;

    const nlohmann::json *source;
    std::string path;
    std::string *complaint;
};

} // namespace azurewell
