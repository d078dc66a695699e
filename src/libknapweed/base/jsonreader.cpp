// Checked reading of JSON objects.

#include "base/jsonreader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>

namespace knapweed
{

namespace
{

constexpr std::size_t longestFound = 60; // bytes of a value shown in a fault line
constexpr std::size_t deepestNesting = 32;

std::string formatNumber(double number)
{
    return nlohmann::json(number).dump();
}

std::string rangeText(const char *kind, const std::string &minimum, const std::string &maximum)
{
    return std::string(kind) + " from " + minimum + " to " + maximum;
}

bool isPrintable(const std::string &text)
{
    return std::none_of(text.begin(), text.end(), [](unsigned char c) {
        return c < 0x20 || c == 0x7f;
    });
}

bool isVisibleAscii(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > 0x20 && c < 0x7f;
    });
}

bool isHostAddress(const std::string &text)
{
    in_addr address {};
    return inet_pton(AF_INET, text.c_str(), &address) == 1 && address.s_addr != INADDR_ANY && address.s_addr != INADDR_NONE;
}

bool hasForm(const std::string &text, TextRule::Form form)
{
    switch (form) {
    case TextRule::Form::Line:
        return isPrintable(text);
    case TextRule::Form::Identifier:
        return isIdentifier(text);
    case TextRule::Form::Secret:
        return isVisibleAscii(text);
    case TextRule::Form::IpAddress:
        return isHostAddress(text);
    }
    return false;
}

std::string allowedText(const TextRule &rule)
{
    const std::string length = std::to_string(rule.minimumLength) + " to " + std::to_string(rule.maximumLength);
    switch (rule.form) {
    case TextRule::Form::Line:
        return "a line of " + length + " printable bytes";
    case TextRule::Form::Identifier:
        return "a name of " + length + " characters out of A-Z a-z 0-9 . _ -";
    case TextRule::Form::Secret:
        return "a token of " + length + " visible ASCII characters";
    case TextRule::Form::IpAddress:
        return "the IPv4 number of one host, such as 10.0.0.7";
    }
    return {};
}

std::string foundText(const nlohmann::json &value, const TextRule &rule)
{
    if (rule.form == TextRule::Form::Secret && value.is_string()) {
        return "a text of " + std::to_string(value.get_ref<const std::string &>().size()) + " bytes";
    }
    return describeFound(value);
}

std::string namesOf(const Choices &choices)
{
    std::string names = "one of";
    for (const auto &[name, number] : choices) {
        names += ' ' + name;
    }
    return names;
}

/// Watches a parse for names given twice and for deep nesting.
class ParseWatch
{
public:
    bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed)
    {
        if (event == nlohmann::json::parse_event_t::object_start) {
            names_.emplace_back();
        } else if (event == nlohmann::json::parse_event_t::object_end) {
            names_.pop_back();
        } else if (event == nlohmann::json::parse_event_t::key && !names_.back().insert(parsed.get<std::string>()).second) {
            repeatedName_ = parsed.get<std::string>();
        }
        isTooDeep_ = isTooDeep_ || depth > static_cast<int>(deepestNesting);
        return !isTooDeep_;
    }

    const std::optional<std::string> &repeatedName() const
    {
        return repeatedName_;
    }

    bool isTooDeep() const
    {
        return isTooDeep_;
    }

private:
    std::vector<std::set<std::string>> names_; ///< invariant: one set for each object that is open
    std::optional<std::string> repeatedName_;
    bool isTooDeep_ = false;
};

} // namespace

nlohmann::json parseJson(const std::string &text, JsonReport &report)
{
    ParseWatch watch;
    const nlohmann::json::parser_callback_t callback = std::ref(watch);
    try {
        nlohmann::json parsed = nlohmann::json::parse(text, callback);
        if (watch.isTooDeep()) {
            report.faults.push_back(faultLine("(document)", "deeper nesting", "at most " + std::to_string(deepestNesting) + " levels"));
            return nullptr;
        }
        if (watch.repeatedName()) {
            report.faults.push_back(faultLine(*watch.repeatedName(), "the same name twice in one object", "each name once"));
            return nullptr;
        }
        return parsed;
    } catch (const nlohmann::json::parse_error &parseError) {
        report.faults.push_back(faultLine("(document)", "no JSON at byte " + std::to_string(parseError.byte), "one JSON object"));
    }
    return nullptr;
}

std::string faultLine(const std::string &path, const std::string &found, const std::string &allowed)
{
    return path + ": found " + found + ", allowed is " + allowed;
}

std::string describeFound(const nlohmann::json &value)
{
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > longestFound) {
        text = text.substr(0, longestFound) + "...";
    }
    return text;
}

bool isIdentifier(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    });
}

JsonObjectReader::JsonObjectReader(const nlohmann::json *object, std::string path, JsonReport &report)
    : object_(object)
    , path_(std::move(path))
    , report_(&report)
{
    if (object_ != nullptr && !object_->is_object()) {
        report_->faults.push_back(faultLine(path_.empty() ? "(document)" : path_, describeFound(*object_), "a JSON object"));
        object_ = nullptr;
    }
}

std::int64_t JsonObjectReader::integer(const std::string &key, const IntegerRule &rule)
{
    const std::string allowed = rangeText("a whole number", std::to_string(rule.minimum), std::to_string(rule.maximum));
    describe(key, allowed, rule.fallback ? std::to_string(*rule.fallback) : "");
    const nlohmann::json *found = required(key, allowed, rule.fallback.has_value());
    if (found == nullptr) {
        return rule.fallback.value_or(rule.minimum);
    }
    const bool isTooLarge = found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (!found->is_number_integer() || isTooLarge || found->get<std::int64_t>() < rule.minimum || found->get<std::int64_t>() > rule.maximum) {
        fault(key, describeFound(*found), allowed);
        return rule.minimum;
    }
    return found->get<std::int64_t>();
}

double JsonObjectReader::number(const std::string &key, const NumberRule &rule)
{
    const std::string allowed = rangeText("a number", formatNumber(rule.minimum), formatNumber(rule.maximum));
    describe(key, allowed, rule.fallback ? formatNumber(*rule.fallback) : "");
    const nlohmann::json *found = required(key, allowed, rule.fallback.has_value());
    if (found == nullptr) {
        return rule.fallback.value_or(rule.minimum);
    }
    if (!found->is_number() || !std::isfinite(found->get<double>()) || found->get<double>() < rule.minimum || found->get<double>() > rule.maximum) {
        fault(key, describeFound(*found), allowed);
        return rule.minimum;
    }
    return found->get<double>();
}

Milliseconds JsonObjectReader::duration(const std::string &key, const DurationRule &rule)
{
    IntegerRule integerRule {rule.minimum.count(), rule.maximum.count(), std::nullopt};
    if (rule.fallback) {
        integerRule.fallback = rule.fallback->count();
    }
    return Milliseconds(integer(key, integerRule));
}

std::string JsonObjectReader::text(const std::string &key, const TextRule &rule)
{
    const std::string allowed = allowedText(rule);
    describe(key, allowed, rule.fallback ? nlohmann::json(*rule.fallback).dump() : "");
    const nlohmann::json *found = required(key, allowed, rule.fallback.has_value());
    if (found == nullptr) {
        return rule.fallback.value_or(std::string());
    }
    if (!found->is_string()) {
        fault(key, foundText(*found, rule), allowed);
        return {};
    }
    const std::string &text = found->get_ref<const std::string &>();
    if (text.size() < rule.minimumLength || text.size() > rule.maximumLength || (!text.empty() && !hasForm(text, rule.form))) {
        fault(key, foundText(*found, rule), allowed);
        return {};
    }
    return text;
}

int JsonObjectReader::choice(const std::string &key, const Choices &choices, const std::optional<std::string> &fallback)
{
    const std::string allowed = namesOf(choices);
    describe(key, allowed, fallback ? nlohmann::json(*fallback).dump() : "");
    const nlohmann::json *found = required(key, allowed, fallback.has_value());
    const Choices::const_iterator chosen = choices.find(found != nullptr && found->is_string() ? found->get<std::string>() : fallback.value_or(""));
    if (found != nullptr && (!found->is_string() || chosen == choices.end())) {
        fault(key, describeFound(*found), allowed);
    }
    return chosen == choices.end() ? choices.begin()->second : chosen->second;
}

JsonObjectReader JsonObjectReader::object(const std::string &key, bool isRequired)
{
    const nlohmann::json *found = required(key, "a JSON object", !isRequired);
    return {found, pathOf(key), *report_};
}

std::vector<JsonObjectReader> JsonObjectReader::objects(const std::string &key, std::size_t minimumLength, std::size_t maximumLength)
{
    const std::string allowed = "an array of " + std::to_string(minimumLength) + " to " + std::to_string(maximumLength) + " objects";
    describe(key, allowed, minimumLength == 0 ? "[]" : "");
    const nlohmann::json *found = required(key, allowed, minimumLength == 0);
    std::vector<JsonObjectReader> readers;
    if (found == nullptr) {
        return readers;
    }
    if (!found->is_array()) {
        fault(key, describeFound(*found), allowed);
        return readers;
    }
    if (found->size() < minimumLength || found->size() > maximumLength) {
        fault(key, std::to_string(found->size()) + " elements", allowed);
        return readers;
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        readers.emplace_back(&found->at(i), pathOf(key) + '[' + std::to_string(i) + ']', *report_);
    }
    return readers;
}

std::map<std::string, JsonObjectReader> JsonObjectReader::namedObjects(const std::string &key, std::size_t maximumLength)
{
    const TextRule nameRule {TextRule::Form::Identifier, 1, 64, std::nullopt};
    const std::string allowed = "an object of at most " + std::to_string(maximumLength) + " members";
    describe(key, allowed, "{}");
    const nlohmann::json *found = required(key, allowed, true);
    std::map<std::string, JsonObjectReader> readers;
    if (found == nullptr) {
        return readers;
    }
    if (!found->is_object()) {
        fault(key, describeFound(*found), allowed);
        return readers;
    }
    if (found->size() > maximumLength) {
        fault(key, std::to_string(found->size()) + " members", allowed);
        return readers;
    }
    for (nlohmann::json::const_iterator it = found->begin(); it != found->end(); ++it) {
        if (!isIdentifier(it.key()) || it.key().size() > nameRule.maximumLength) {
            fault(key, "the name " + describeFound(it.key()), allowedText(nameRule));
            continue;
        }
        readers.emplace(it.key(), JsonObjectReader(&it.value(), pathOf(key) + '.' + it.key(), *report_));
    }
    return readers;
}

JsonObjectReader JsonObjectReader::elementDescription(const std::string &key) const
{
    return {nullptr, pathOf(key) + "[]", *report_};
}

const nlohmann::json *JsonObjectReader::member(const std::string &key)
{
    read_.insert(key);
    if (object_ == nullptr) {
        return nullptr;
    }
    const nlohmann::json::const_iterator found = object_->find(key);
    return found == object_->end() ? nullptr : &*found;
}

bool JsonObjectReader::has(const std::string &key) const
{
    return object_ != nullptr && object_->contains(key);
}

bool JsonObjectReader::isPresent() const
{
    return object_ != nullptr;
}

std::string JsonObjectReader::pathOf(const std::string &key) const
{
    return path_.empty() ? key : path_ + '.' + key;
}

void JsonObjectReader::fault(const std::string &key, const std::string &found, const std::string &allowed)
{
    report_->faults.push_back(faultLine(pathOf(key), found, allowed));
}

void JsonObjectReader::finish()
{
    if (object_ == nullptr) {
        return;
    }
    std::string known = "one of";
    for (const std::string &key : read_) {
        known += ' ' + key;
    }
    for (nlohmann::json::const_iterator it = object_->begin(); it != object_->end(); ++it) {
        if (read_.count(it.key()) == 0) {
            report_->faults.push_back(faultLine(path_.empty() ? "(document)" : path_, "the unknown key " + describeFound(it.key()), known));
        }
    }
}

void JsonObjectReader::describe(const std::string &key, const std::string &allowed, const std::string &fallback)
{
    report_->fields.push_back({pathOf(key), allowed, fallback});
}

const nlohmann::json *JsonObjectReader::required(const std::string &key, const std::string &allowed, bool hasFallback)
{
    const nlohmann::json *found = member(key);
    if (found == nullptr && object_ != nullptr && !hasFallback) {
        fault(key, "nothing", allowed);
    }
    return found;
}

} // namespace knapweed
