#include <fulmarjunction/serving/context_codec.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace fulmarjunction {

namespace {

constexpr std::string_view internal_prefix = "fj-";
/// Longest remaining time accepted from a peer: one day in milliseconds.
constexpr std::int64_t max_timeout_ms = 86'400'000;
constexpr std::uint32_t max_depth = 64;
constexpr double highest_level = 16;
constexpr std::uint32_t max_retries = 16;

/// Takes fields out of a list, remembering the first one that is bad.
class field_taker
{
public:
    explicit field_taker(header_fields& fields) : fields_(fields) {}

    std::optional<std::string> text(std::string_view name)
    {
        const auto found = find_header(fields_, name);
        if (!found)
            return std::nullopt;
        std::string value(*found);
        remove_header(fields_, name);
        return value;
    }

    std::string required(std::string_view name)
    {
        auto value = text(name);
        if (!value)
            reject(name);
        return value.value_or(std::string());
    }

    template <class Number>
    std::optional<Number>
    number(std::string_view name, Number lowest, Number highest)
    {
        const auto value = text(name);
        if (!value)
            return std::nullopt;
        Number parsed{};
        const char* const end = value->data() + value->size();
        const auto [stop, problem] =
            std::from_chars(value->data(), end, parsed);
        const bool in_range = parsed >= lowest && parsed <= highest;
        if (problem != std::errc() || stop != end || !in_range) {
            reject(name);
            return std::nullopt;
        }
        return parsed;
    }

    template <class Number>
    Number required_number(std::string_view name, Number lowest, Number highest)
    {
        const auto value = number(name, lowest, highest);
        if (!value)
            reject(name);
        return value.value_or(lowest);
    }

    template <class Parsed>
    Parsed required_name(
        std::string_view name, std::optional<Parsed> (*parse)(std::string_view))
    {
        const auto value = parse(required(name));
        if (!value)
            reject(name);
        return value.value_or(Parsed{});
    }

    void reject(std::string_view name)
    {
        if (bad_.empty())
            bad_ = name;
    }

    const std::string& bad() const { return bad_; }

private:
    header_fields& fields_;
    std::string bad_;
};

void add(header_fields& fields, std::string_view name, std::string value)
{
    fields.push_back({std::string(name), std::move(value)});
}

} // namespace

void write_context(
    header_fields& fields, const request_context& context, time_point now)
{
    const auto left =
        std::max<std::int64_t>(0, to_milliseconds(context.deadline - now));
    add(fields, "fj-account", context.account);
    add(fields, "fj-endpoint", context.endpoint);
    add(fields, "fj-service", context.service);
    add(fields, "fj-importance", std::string(to_string(context.rank)));
    add(fields, "fj-execution", std::string(to_string(context.kind)));
    add(fields, "fj-timeout-ms", fmt::format("{}", left));
    add(fields, "fj-root", to_string(context.root));
    add(fields, "fj-depth", fmt::format("{}", context.depth));
    add(fields, "fj-retries", fmt::format("{}", context.retries));
    add(fields, "fj-invested", context.invested ? "1" : "0");
    if (context.after_backend_failure)
        add(fields, "fj-after-failure", "1");
    add(fields, "fj-weight", fmt::format("{}", context.weight));
    if (context.applied_level > 0)
        add(fields, "fj-applied-level",
            fmt::format("{:.4f}", context.applied_level));
    if (context.applied_below > 0) {
        add(fields, "fj-applied-below",
            fmt::format("{:.4f}", context.applied_below));
        add(fields, "fj-applied-below-service", context.applied_below_service);
    }
    if (!context.idempotency_key.empty())
        add(fields, "fj-idempotency-key", context.idempotency_key);
}

result<request_context> take_context(header_fields& fields, time_point now)
{
    field_taker taker(fields);
    request_context context;
    context.account = taker.required("fj-account");
    context.endpoint = taker.required("fj-endpoint");
    context.service = taker.required("fj-service");
    context.rank = taker.required_name("fj-importance", parse_importance);
    context.kind = taker.required_name("fj-execution", parse_execution);
    context.root = taker.required_name("fj-root", parse_root_id);
    const auto left =
        taker.required_number<std::int64_t>("fj-timeout-ms", 0, max_timeout_ms);
    context.deadline = now + milliseconds(left);
    context.depth =
        taker.required_number<std::uint32_t>("fj-depth", 1, max_depth);
    context.retries =
        taker.required_number<std::uint32_t>("fj-retries", 0, max_retries);
    context.invested =
        taker.required_number<std::uint32_t>("fj-invested", 0, 1) == 1;
    context.after_backend_failure =
        taker.number<std::uint32_t>("fj-after-failure", 0, 1) == 1U;
    context.weight =
        taker.required_number<double>("fj-weight", 0.001, 1'000'000);
    context.applied_level =
        taker.number<double>("fj-applied-level", 0, highest_level).value_or(0);
    context.applied_below =
        taker.number<double>("fj-applied-below", 0, highest_level).value_or(0);
    context.applied_below_service =
        taker.text("fj-applied-below-service").value_or(std::string());
    context.idempotency_key =
        taker.text("fj-idempotency-key").value_or(std::string());
    if (!taker.bad().empty())
        return fail(errc::malformed, "read request context", {}, taker.bad());
    return context;
}

void write_answer_metadata(header_fields& fields, const answer_metadata& notes)
{
    add(fields, "fj-outcome", std::string(to_string(notes.request_outcome)));
    if (notes.reason)
        add(fields, "fj-reason", std::string(to_string(*notes.reason)));
    if (notes.retry_after_ms > 0)
        add(fields, "fj-retry-after-ms",
            fmt::format("{}", notes.retry_after_ms));
    add(fields, "fj-retries-unspent", fmt::format("{}", notes.retries_unspent));
    if (notes.level)
        add(fields, "fj-level", fmt::format("{:.4f}", *notes.level));
    if (notes.downstream.refused)
        add(fields, "fj-below-refused", "1");
    if (notes.downstream.level.level > 0) {
        add(fields, "fj-below-level",
            fmt::format("{:.4f}", notes.downstream.level.level));
        add(fields, "fj-below-service", notes.downstream.level.service);
    }
    if (notes.load)
        add(fields, "fj-load", fmt::format("{:.3f}", *notes.load));
}

result<answer_metadata> take_answer_metadata(header_fields& fields)
{
    field_taker taker(fields);
    answer_metadata notes;
    notes.request_outcome = taker.required_name("fj-outcome", parse_outcome);
    if (const auto reason = taker.text("fj-reason")) {
        notes.reason = parse_refusal_reason(*reason);
        if (!notes.reason)
            taker.reject("fj-reason");
    }
    notes.retry_after_ms =
        taker.number<std::int64_t>("fj-retry-after-ms", 0, max_timeout_ms)
            .value_or(0);
    notes.retries_unspent =
        taker.number<std::uint32_t>("fj-retries-unspent", 0, max_retries)
            .value_or(0);
    notes.level = taker.number<double>("fj-level", 0, highest_level);
    notes.load = taker.number<double>("fj-load", 0, 1);
    notes.downstream.refused =
        taker.number<std::uint32_t>("fj-below-refused", 0, 1) == 1u;
    notes.downstream.level.level =
        taker.number<double>("fj-below-level", 0, highest_level).value_or(0);
    notes.downstream.level.service =
        taker.text("fj-below-service").value_or(std::string());
    if (!taker.bad().empty())
        return fail(errc::malformed, "read answer notes", {}, taker.bad());
    return notes;
}

void strip_internal_fields(header_fields& fields)
{
    std::erase_if(fields, [](const header_field& field) {
        return field.name.starts_with(internal_prefix);
    });
}

void strip_reserved_fields(header_fields& fields)
{
    strip_internal_fields(fields);
    std::erase_if(fields, [](const header_field& field) {
        return field.name == "authorization" ||
               field.name.starts_with("fulmar-");
    });
}

streamed_response refusal_answer(const refusal& why, answer_metadata notes)
{
    notes.request_outcome = why.what;
    notes.reason = why.reason;
    notes.retry_after_ms = why.retry_after_ms;
    streamed_response answer;
    answer.status = http_status(why.reason);
    answer.content_length = 0;
    answer.body = empty_body();
    write_answer_metadata(answer.headers, notes);
    return answer;
}

} // namespace fulmarjunction
