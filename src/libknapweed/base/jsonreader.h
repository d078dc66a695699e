// Reads JSON objects against rules and reports every fault as one line: the path of the field, what was found and what is allowed.
// Each field that is read is also described, so that a reference page can be checked against the code.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace knapweed
{

/// A field as a reference page shows it.
struct FieldDescription
{
    std::string path; ///< "worker.id"; "seeds[].ip" for the elements of an array
    std::string allowed; ///< "a whole number from 0 to 65535"
    std::string fallback; ///< the default as JSON text; empty when the field is required
};

struct JsonReport
{
    std::vector<std::string> faults;
    std::vector<FieldDescription> fields;
};

/// Parses @p text; faults of syntax, names given twice and nesting deeper than 32 are reported, and then the value is null.
nlohmann::json parseJson(const std::string &text, JsonReport &report);

/// "found X, allowed is Y" with the path in front. Long values are cut.
std::string faultLine(const std::string &path, const std::string &found, const std::string &allowed);

/// What stands in a fault line for a value.
std::string describeFound(const nlohmann::json &value);

struct IntegerRule
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::optional<std::int64_t> fallback;
};

struct NumberRule
{
    double minimum = 0;
    double maximum = 0;
    std::optional<double> fallback;
};

struct DurationRule
{
    Milliseconds minimum {0};
    Milliseconds maximum {0};
    std::optional<Milliseconds> fallback;
};

struct TextRule
{
    enum class Form {
        Line, ///< printable, on one line
        Identifier, ///< [A-Za-z0-9._-]+
        Secret, ///< printable ASCII without blanks; its value never stands in a fault line
        IpAddress, ///< IPv4 number of one host
    };
    Form form = Form::Line;
    std::size_t minimumLength = 1;
    std::size_t maximumLength = 256;
    std::optional<std::string> fallback;
};

using Choices = std::map<std::string, int>;

/// Whether @p text is of the form [A-Za-z0-9._-]+.
bool isIdentifier(const std::string &text);

/// One object. A null pointer stands for an object that is absent: fields then get their defaults, are described, and are no faults.
/// The object and the report must outlive the reader.
class JsonObjectReader
{
public:
    JsonObjectReader(const nlohmann::json *object, std::string path, JsonReport &report);

    std::int64_t integer(const std::string &key, const IntegerRule &rule);
    double number(const std::string &key, const NumberRule &rule);
    Milliseconds duration(const std::string &key, const DurationRule &rule);
    std::string text(const std::string &key, const TextRule &rule);
    /// The number that stands for the chosen name.
    int choice(const std::string &key, const Choices &choices, const std::optional<std::string> &fallback = std::nullopt);

    /// The member objects; absent ones have no reader fault of their own unless @p isRequired.
    JsonObjectReader object(const std::string &key, bool isRequired);
    /// The elements of an array of at most @p maximumLength objects. An absent or empty array gives none, and @p describe is called by the caller.
    std::vector<JsonObjectReader> objects(const std::string &key, std::size_t minimumLength, std::size_t maximumLength);
    /// The members of an object whose names are free identifiers.
    std::map<std::string, JsonObjectReader> namedObjects(const std::string &key, std::size_t maximumLength);
    /// A reader that only describes the elements of the array or map @p key.
    JsonObjectReader elementDescription(const std::string &key) const;

    /// The member, marked as read, or null.
    const nlohmann::json *member(const std::string &key);
    bool has(const std::string &key) const;
    bool isPresent() const;
    std::string pathOf(const std::string &key) const;
    void fault(const std::string &key, const std::string &found, const std::string &allowed);

    /// Reports every member that nothing has read. Call it last.
    void finish();

private:
    void describe(const std::string &key, const std::string &allowed, const std::string &fallback);
    const nlohmann::json *required(const std::string &key, const std::string &allowed, bool hasFallback);

    const nlohmann::json *object_; ///< null when absent
    std::string path_;
    JsonReport *report_;
    std::set<std::string> read_;
};

} // namespace knapweed
