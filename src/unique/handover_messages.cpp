#include <fulmarjunction/core/object_reader.hpp>
#include <fulmarjunction/unique/handover_messages.hpp>

#include <boost/json/serialize.hpp>
#include <sodium.h>

namespace fulmarjunction {

namespace {

constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_digest_bytes = 128;
constexpr std::size_t max_keys_per_piece = 100'000;
constexpr std::size_t max_header_fields = 256;
constexpr std::uint32_t max_pieces = 10'000;
constexpr std::uint64_t max_status = 999;

/// Header fields and bodies are arbitrary bytes, which JSON strings cannot
/// hold, so they are encoded in base64.
constexpr int base64_variant = sodium_base64_VARIANT_ORIGINAL;

std::string encode(const std::string& data)
{
    std::string text(
        sodium_base64_encoded_len(data.size(), base64_variant), '\0');
    sodium_bin2base64(
        text.data(), text.size(),
        reinterpret_cast<const unsigned char*>(data.data()), data.size(),
        base64_variant);
    text.pop_back(); // terminating null character
    return text;
}

std::optional<std::string> decode(const std::string& text)
{
    std::string data(text.size(), '\0');
    std::size_t size = 0;
    const char* end = nullptr;
    const int failed = sodium_base642bin(
        reinterpret_cast<unsigned char*>(data.data()), data.size(), text.data(),
        text.size(), nullptr, &size, &end, base64_variant);
    if (failed != 0 || end != text.data() + text.size())
        return std::nullopt;
    data.resize(size);
    return data;
}

boost::json::value write_answer(const std::shared_ptr<const kept_answer>& kept)
{
    if (!kept)
        return nullptr;
    boost::json::array headers;
    for (const auto& field : kept->headers)
        headers.push_back(
            {{"name", encode(field.name)}, {"value", encode(field.value)}});
    return {
        {"status", kept->status},
        {"headers", std::move(headers)},
        {"body", encode(kept->body)}};
}

boost::json::value write_key(const open_key& key)
{
    return {{"sequence", key.sequence},
            {"account", key.account},
            {"endpoint", key.endpoint},
            {"digest", key.digest},
            {"expires_ms", key.expires_ms},
            {"outcome", to_string(key.request_outcome)},
            {"reason", to_string(key.reason)},
            {"answer", write_answer(key.answer)}};
}

std::string read_bytes(object_reader& fields, std::string_view name)
{
    const auto text = fields.text(name, max_handover_piece_bytes);
    auto data = decode(text);
    if (!data)
        fields.set_error(name, "is not base64");
    return data.value_or(std::string());
}

result<std::shared_ptr<const kept_answer>>
read_answer(const boost::json::value& document, const std::string& step)
{
    if (document.is_null())
        return std::shared_ptr<const kept_answer>();
    object_reader fields(document, step);
    auto answer = std::make_shared<kept_answer>();
    answer->status = static_cast<int>(fields.number("status", max_status));
    for (const auto& element : fields.array("headers", max_header_fields)) {
        object_reader inner(element, step);
        header_field field;
        field.name = read_bytes(inner, "name");
        field.value = read_bytes(inner, "value");
        BOOST_OUTCOME_TRYV(inner.finish());
        answer->headers.push_back(std::move(field));
    }
    answer->body = read_bytes(fields, "body");
    BOOST_OUTCOME_TRYV(fields.finish());
    return std::shared_ptr<const kept_answer>(std::move(answer));
}

result<open_key>
read_key(const boost::json::value& document, const std::string& step)
{
    object_reader fields(document, step);
    open_key key;
    key.sequence = fields.number("sequence");
    key.account = fields.text("account", max_name_bytes, 1);
    key.endpoint = fields.text("endpoint", max_name_bytes);
    key.digest = fields.text("digest", max_digest_bytes);
    key.expires_ms = fields.signed_number("expires_ms");
    const auto request_outcome =
        parse_outcome(fields.text("outcome", max_name_bytes));
    const auto reason =
        parse_refusal_reason(fields.text("reason", max_name_bytes));
    // The table holds only started keys.
    if (!request_outcome || *request_outcome == outcome::not_run)
        fields.set_error("outcome", "is not an outcome of a started key");
    if (!reason)
        fields.set_error("reason", "is not a refusal reason");
    const auto* answer = fields.find("answer");
    BOOST_OUTCOME_TRYV(fields.finish());
    key.request_outcome = *request_outcome;
    key.reason = *reason;
    BOOST_OUTCOME_TRY(key.answer, read_answer(*answer, step));
    return key;
}

template <class Message>
void read_attempt(object_reader& fields, Message& message)
{
    message.issuer = fields.text("issuer", max_name_bytes, 1);
    message.incarnation = fields.number("incarnation");
    message.attempt = fields.number("attempt");
}

} // namespace

bool kept_answer::operator==(const kept_answer& other) const
{
    const auto is_equal = [](const header_field& a, const header_field& b) {
        return a.name == b.name && a.value == b.value;
    };
    return status == other.status && body == other.body &&
           std::equal(
               headers.begin(), headers.end(), other.headers.begin(),
               other.headers.end(), is_equal);
}

std::string
handover_row_key(const instance_name& issuer, incarnation_number incarnation)
{
    return "handover/" + issuer + "/" + std::to_string(incarnation);
}

std::string to_text(const handover_piece& message)
{
    boost::json::array keys;
    for (const auto& key : message.keys)
        keys.push_back(write_key(key));
    const boost::json::value document{
        {"issuer", message.issuer},   {"incarnation", message.incarnation},
        {"attempt", message.attempt}, {"index", message.index},
        {"count", message.count},     {"frozen_at_ms", message.frozen_at_ms},
        {"keys", std::move(keys)}};
    return boost::json::serialize(document);
}

std::string to_text(const handover_receipt& message)
{
    const boost::json::value document{
        {"issuer", message.issuer},
        {"incarnation", message.incarnation},
        {"attempt", message.attempt},
        {"index", message.index}};
    return boost::json::serialize(document);
}

boost::json::value to_json(const handover_row& row)
{
    return {
        {"issuer", row.issuer},
        {"incarnation", row.incarnation},
        {"attempt", row.attempt},
        {"successor", row.successor},
        {"successor_incarnation", row.successor_incarnation}};
}

result<handover_piece> parse_handover_piece(std::string_view text)
{
    const std::string step = "parse handover piece";
    BOOST_OUTCOME_TRY(
        const auto document, parse_json(text, max_handover_piece_bytes, step));
    object_reader fields(document, step);
    handover_piece message;
    read_attempt(fields, message);
    message.index =
        static_cast<std::uint32_t>(fields.number("index", max_pieces));
    message.count =
        static_cast<std::uint32_t>(fields.number("count", max_pieces));
    message.frozen_at_ms = fields.signed_number("frozen_at_ms");
    if (message.index >= message.count)
        fields.set_error("index", "is not below count");
    for (const auto& element : fields.array("keys", max_keys_per_piece)) {
        BOOST_OUTCOME_TRY(auto key, read_key(element, step));
        message.keys.push_back(std::move(key));
    }
    BOOST_OUTCOME_TRYV(fields.finish());
    return message;
}

result<handover_receipt> parse_handover_receipt(std::string_view text)
{
    const std::string step = "parse handover receipt";
    BOOST_OUTCOME_TRY(
        const auto document, parse_json(text, max_handover_piece_bytes, step));
    object_reader fields(document, step);
    handover_receipt message;
    read_attempt(fields, message);
    message.index =
        static_cast<std::uint32_t>(fields.number("index", max_pieces));
    BOOST_OUTCOME_TRYV(fields.finish());
    return message;
}

result<handover_row> parse_handover_row(const boost::json::value& document)
{
    object_reader fields(document, "parse handover row");
    handover_row row;
    read_attempt(fields, row);
    row.successor = fields.text("successor", max_name_bytes, 1);
    row.successor_incarnation = fields.number("successor_incarnation");
    BOOST_OUTCOME_TRYV(fields.finish());
    return row;
}

} // namespace fulmarjunction
