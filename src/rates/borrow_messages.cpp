#include <fulmarjunction/core/object_reader.hpp>
#include <fulmarjunction/rates/borrow_messages.hpp>

#include <boost/json/serialize.hpp>

namespace fulmarjunction {

namespace {

constexpr std::size_t max_name_length = 256;

/// Maximum loan lifetime and retry delay accepted from a peer.
constexpr std::int64_t max_span_ms = 60'000;

std::uint32_t read_tokens(object_reader& fields, std::string_view name)
{
    return static_cast<std::uint32_t>(fields.number(name, max_loan_tokens));
}

} // namespace

std::string to_text(const borrow_request& message)
{
    boost::json::array settled;
    for (const auto& loan : message.settled)
        settled.push_back({{"id", loan.id}, {"unspent", loan.unspent}});
    const boost::json::value document{
        {"id", message.id},
        {"borrower", message.borrower},
        {"incarnation", message.incarnation},
        {"account", message.account},
        {"needed", message.needed},
        {"ahead", message.ahead},
        {"settled", std::move(settled)}};
    return boost::json::serialize(document);
}

std::string to_text(const borrow_answer& message)
{
    const boost::json::value document{
        {"id", message.id},
        {"account", message.account},
        {"tokens", message.tokens},
        {"life_ms", message.lifetime.count()},
        {"left", message.left},
        {"retry_after_ms", message.retry_after.count()},
        {"holds_share", message.holds_share}};
    return boost::json::serialize(document);
}

result<borrow_request> parse_borrow_request(std::string_view text)
{
    const std::string step = "parse borrow request";
    BOOST_OUTCOME_TRY(
        const auto document, parse_json(text, max_borrow_message_bytes, step));
    object_reader fields(document, step);
    borrow_request message;
    message.id = fields.number("id");
    message.borrower = fields.text("borrower", max_name_length, 1);
    message.incarnation = fields.number("incarnation");
    message.account = fields.text("account", max_name_length, 1);
    message.needed = read_tokens(fields, "needed");
    message.ahead = read_tokens(fields, "ahead");
    for (const auto& element : fields.array("settled", max_settled_loans)) {
        object_reader loan_fields(element, step);
        settled_loan loan;
        loan.id = loan_fields.number("id");
        loan.unspent = read_tokens(loan_fields, "unspent");
        BOOST_OUTCOME_TRYV(loan_fields.finish());
        message.settled.push_back(loan);
    }
    BOOST_OUTCOME_TRYV(fields.finish());
    return message;
}

result<borrow_answer> parse_borrow_answer(std::string_view text)
{
    const std::string step = "parse borrow answer";
    BOOST_OUTCOME_TRY(
        const auto document, parse_json(text, max_borrow_message_bytes, step));
    object_reader fields(document, step);
    borrow_answer message;
    message.id = fields.number("id");
    message.account = fields.text("account", max_name_length, 1);
    message.tokens = read_tokens(fields, "tokens");
    message.lifetime =
        milliseconds(fields.signed_number("life_ms", max_span_ms));
    message.left = read_tokens(fields, "left");
    message.retry_after =
        milliseconds(fields.signed_number("retry_after_ms", max_span_ms));
    message.holds_share = fields.boolean("holds_share");
    BOOST_OUTCOME_TRYV(fields.finish());
    return message;
}

} // namespace fulmarjunction
