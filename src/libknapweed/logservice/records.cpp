// Encoding of records, and decoding by the type named in the text.

#include "logservice/records.h"

#include "logservice/recordjson.h"

#include <array>
#include <exception>
#include <string_view>

namespace knapweed
{

namespace
{

using nlohmann::json;

struct RecordReader
{
    std::string_view type;
    Record (*read)(const json &);
};

template<auto Read>
Record readAs(const json &value)
{
    return Read(value);
}

constexpr std::array<RecordReader, std::variant_size_v<Record>> recordReaders = {{
    {"submit", &readAs<recordjson::readSubmit>},
    {"claim", &readAs<recordjson::readClaim>},
    {"start", &readAs<recordjson::readStart>},
    {"abandon", &readAs<recordjson::readAbandon>},
    {"outcome", &readAs<recordjson::readOutcome>},
    {"configuration", &readAs<recordjson::readConfiguration>},
    {"snapshot", &readAs<recordjson::readSnapshot>},
}};

} // namespace

std::string encodeRecord(const Record &record)
{
    return std::visit(
        [](const auto &body) {
            return recordjson::dump(recordjson::toJson(body));
        },
        record);
}

Result<Record, RecordError> decodeRecord(const std::string &text)
{
    try {
        const json value = json::parse(text);
        const std::string type = value.at("type").get<std::string>();
        for (const RecordReader &reader : recordReaders) {
            if (reader.type == type) {
                return reader.read(value);
            }
        }
        return RecordError {"unknown record type " + type};
    } catch (const std::exception &failure) {
        return RecordError {failure.what()};
    }
}

} // namespace knapweed
