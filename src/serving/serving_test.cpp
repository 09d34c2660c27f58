#include <fulmarjunction/serving/body.hpp>
#include <fulmarjunction/serving/context_codec.hpp>
#include <fulmarjunction/serving/in_flight.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <vector>

namespace fj = fulmarjunction;
namespace asio = boost::asio;

namespace {

template <class T>
T run(fj::awaitable<T> work)
{
    asio::io_context context;
    std::optional<T> value;
    asio::co_spawn(
        context, std::move(work),
        [&](std::exception_ptr thrown, std::optional<T> done) {
            if (thrown)
                std::rethrow_exception(thrown);
            value = std::move(done);
        });
    context.run();
    return std::move(*value);
}

template <class T>
fj::awaitable<std::optional<T>> optional_of(fj::awaitable<T> work)
{
    co_return co_await std::move(work);
}

fj::result<std::string> read_all(fj::body_reader body)
{
    auto read = run(optional_of(fj::read_body(std::move(body), 1 << 20)));
    return std::move(*read);
}

/// Returns a reader that yields the pieces one by one, then the end.
fj::body_reader in_pieces(std::vector<std::string> pieces)
{
    auto next = std::make_shared<std::size_t>(0);
    return [pieces = std::move(pieces), next](asio::mutable_buffer buffer)
               -> fj::awaitable<fj::result<std::size_t>> {
        if (*next == pieces.size())
            co_return std::size_t{0};
        const auto& piece = pieces[(*next)++];
        co_return asio::buffer_copy(buffer, asio::buffer(piece));
    };
}

fj::request_context sample_context(fj::time_point now)
{
    fj::request_context context;
    context.account = "anand nurseries";
    context.endpoint = "dispatch.confirm";
    context.service = "dispatch";
    context.rank = fj::importance::critical;
    context.kind = fj::execution::unique;
    context.deadline = now + fj::milliseconds(750);
    context.root = fj::random_root();
    context.depth = 3;
    context.retries = 2;
    context.invested = true;
    context.after_backend_failure = true;
    context.weight = 2.5;
    context.idempotency_key = "k1";
    return context;
}

} // namespace

TEST_CASE(
    "a request context round-trips through its header fields", "[serving]")
{
    const fj::time_point now{};
    const auto sent = sample_context(now);
    fj::header_fields fields{{"accept", "*/*"}};
    write_context(fields, sent, now);
    const auto parsed = fj::take_context(fields, now);
    REQUIRE(parsed);
    CHECK(parsed.value().account == sent.account);
    CHECK(parsed.value().rank == sent.rank);
    CHECK(parsed.value().kind == sent.kind);
    CHECK(parsed.value().deadline == sent.deadline);
    CHECK(parsed.value().root == sent.root);
    CHECK(parsed.value().depth == 3);
    CHECK(parsed.value().retries == 2);
    CHECK(parsed.value().invested);
    CHECK(parsed.value().after_backend_failure);
    CHECK(parsed.value().weight == 2.5);
    CHECK(parsed.value().idempotency_key == "k1");
    REQUIRE(fields.size() == 1);
}

TEST_CASE(
    "a context with an invalid field is refused with its name", "[serving]")
{
    const struct
    {
        const char* field;
        const char* value;
    } cases[] = {
        {"fj-importance", "supreme"}, {"fj-timeout-ms", "-1"},
        {"fj-timeout-ms", "12x"},     {"fj-root", "1234"},
        {"fj-depth", "65"},           {"fj-retries", "17"},
        {"fj-invested", "yes"},       {"fj-weight", "nan"},
        {"fj-weight", "0"},
    };
    for (const auto& invalid : cases) {
        const fj::time_point now{};
        fj::header_fields fields;
        write_context(fields, sample_context(now), now);
        fj::remove_header(fields, invalid.field);
        fields.push_back({invalid.field, invalid.value});
        const auto parsed = fj::take_context(fields, now);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().detail == invalid.field);
    }
}

TEST_CASE("answer metadata round-trips through its header fields", "[serving]")
{
    fj::header_fields fields;
    fj::answer_metadata sent;
    sent.request_outcome = fj::outcome::not_run;
    sent.reason = fj::refusal_reason::overloaded;
    sent.retry_after_ms = 40;
    sent.retries_unspent = 1;
    sent.level = 2.25;
    write_answer_metadata(fields, sent);
    const auto parsed = fj::take_answer_metadata(fields);
    REQUIRE(parsed);
    CHECK(parsed.value().request_outcome == sent.request_outcome);
    CHECK(parsed.value().reason == sent.reason);
    CHECK(parsed.value().retry_after_ms == 40);
    CHECK(parsed.value().retries_unspent == 1);
    CHECK(parsed.value().level == 2.25);
    CHECK_FALSE(parsed.value().load);
    CHECK(fields.empty());
}

TEST_CASE(
    "guard_secret rejects a key in a body, also across reads", "[serving]")
{
    const std::string secret = "fjk_1_abcdef";
    const struct
    {
        std::vector<std::string> pieces;
        bool is_rejected;
    } cases[] = {
        {{"nothing here"}, false},
        {{"before fjk_1_abcdef after"}, true},
        {{"before fjk_1_", "abcdef after"}, true},
        {{"f", "j", "k", "_", "1", "_", "a", "b", "c", "d", "e", "f"}, true},
        {{"fjk_1_abcde", "x"}, false},
        {{"fjk_1_abcde"}, false},
        {{"fjk_1_fjk_1_abcdef"}, true},
    };
    for (const auto& test_case : cases) {
        const auto read =
            read_all(fj::guard_secret(in_pieces(test_case.pieces), secret));
        if (test_case.is_rejected) {
            REQUIRE_FALSE(read);
            CHECK(read.error().code == fj::errc::unauthorized);
        } else {
            std::string whole;
            for (const auto& piece : test_case.pieces)
                whole += piece;
            REQUIRE(read);
            CHECK(read.value() == whole);
        }
    }
}

TEST_CASE(
    "a buffered request body can be sent again only when complete", "[serving]")
{
    auto small = std::move(
        *run(optional_of(fj::buffer_request_body(in_pieces({"abc", "de"})))));
    REQUIRE(small);
    CHECK(small.value().is_whole);
    CHECK(read_all(small.value().open()).value() == "abcde");
    CHECK(read_all(small.value().open()).value() == "abcde");

    const std::vector<std::string> pieces(10, std::string(16384, 'x'));
    auto large = std::move(
        *run(optional_of(fj::buffer_request_body(in_pieces(pieces)))));
    REQUIRE(large);
    CHECK_FALSE(large.value().is_whole);
    CHECK(large.value().prefix.size() <= fj::max_buffered_body_bytes);
    CHECK(read_all(large.value().open()).value().size() == 163840);
}

TEST_CASE("with_end_hook reports the end of a body exactly once", "[serving]")
{
    std::vector<bool> ends;
    const auto record_end = [&](bool complete) { ends.push_back(complete); };
    CHECK(read_all(
        fj::with_end_hook(fj::string_body("abc"), std::nullopt, record_end)));
    CHECK(ends == std::vector<bool>{true});
    ends.clear();
    {
        const auto dropped =
            fj::with_end_hook(fj::string_body("abc"), std::nullopt, record_end);
    }
    CHECK(ends == std::vector<bool>{false});
}

// Guards against answers that count as broken off because their receiver
// stopped at the length that they had stated.
TEST_CASE("a body of known length ends with its last byte", "[serving]")
{
    std::vector<bool> ends;
    const auto record_end = [&](bool complete) { ends.push_back(complete); };
    {
        const auto empty = fj::with_end_hook(fj::empty_body(), 0, record_end);
    }
    CHECK(ends == std::vector<bool>{true});
    ends.clear();
    {
        auto whole = fj::with_end_hook(fj::string_body("abc"), 3, record_end);
        char buffer[2];
        const auto read = [&]() {
            return run(optional_of(whole(asio::buffer(buffer))))->value();
        };
        CHECK(read() == 2);
        CHECK(ends.empty());
        CHECK(read() == 1);
    }
    CHECK(ends == std::vector<bool>{true});
}

TEST_CASE("a token of a finished request is unknown", "[serving]")
{
    asio::io_context context;
    fj::in_flight_table table;
    const auto request = std::make_shared<fj::running_request>(
        sample_context({}), fj::cancel_event(context.get_executor()));
    const auto token = table.add(request);
    CHECK(token.size() == 32);
    CHECK(table.find(token) == request);
    table.remove(token);
    CHECK(table.find(token) == nullptr);
}
