#include <fulmarjunction/serving/context_codec.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace fulmarjunction {

namespace {

constexpr std::string_view internal_prefix = "fj-";
/// Maximum remaining time accepted from a peer: one day in milliseconds.
constexpr std::int64_t max_timeout_ms = 86'400'000;
constexpr std::uint32_t max_depth = 64;
constexpr double max_level = 16;
constexpr std::uint32_t max_retries = 16;

/// Removes and parses fields of a list; records the first invalid one.
class field_extractor
{
public:
    explicit field_extractor(header_fields& fields) : fields_(fields) {}

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
    number(std::string_view name, Number minimum, Number maximum)
    {
        const auto value = text(name);
        if (!value)
            return std::nullopt;
        Number parsed{};
        const char* const end = value->data() + value->size();
        const auto [parsed_end, problem] =
            std::from_chars(value->data(), end, parsed);
        const bool in_range = parsed >= minimum && parsed <= maximum;
        if (problem != std::errc() || parsed_end != end || !in_range) {
            reject(name);
            return std::nullopt;
        }
        return parsed;
    }

    template <class Number>
    Number
    required_number(std::string_view name, Number minimum, Number maximum)
    {
        const auto value = number(name, minimum, maximum);
        if (!value)
            reject(name);
        return value.value_or(minimum);
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
        if (invalid_field_.empty())
            invalid_field_ = name;
    }

    const std::string& invalid_field() const { return invalid_field_; }

private:
    header_fields& fields_;
    std::string invalid_field_;
};

void add(header_fields& fields, std::string_view name, std::string value)
{
    fields.push_back({std::string(name), std::move(value)});
}

} // namespace

void write_context(
    header_fields& fields, const request_context& context, time_point now)
{
    const auto remaining_ms =
        std::max<std::int64_t>(0, to_milliseconds(context.deadline - now));
    add(fields, "fj-account", context.account);
    add(fields, "fj-endpoint", context.endpoint);
    add(fields, "fj-service", context.service);
    add(fields, "fj-importance", std::string(to_string(context.rank)));
    add(fields, "fj-execution", std::string(to_string(context.kind)));
    add(fields, "fj-timeout-ms", fmt::format("{}", remaining_ms));
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
    field_extractor extractor(fields);
    request_context context;
    context.account = extractor.required("fj-account");
    context.endpoint = extractor.required("fj-endpoint");
    context.service = extractor.required("fj-service");
    context.rank = extractor.required_name("fj-importance", parse_importance);
    context.kind = extractor.required_name("fj-execution", parse_execution);
    context.root = extractor.required_name("fj-root", parse_root_id);
    const auto remaining_ms = extractor.required_number<std::int64_t>(
        "fj-timeout-ms", 0, max_timeout_ms);
    context.deadline = now + milliseconds(remaining_ms);
    context.depth =
        extractor.required_number<std::uint32_t>("fj-depth", 1, max_depth);
    context.retries =
        extractor.required_number<std::uint32_t>("fj-retries", 0, max_retries);
    context.invested =
        extractor.required_number<std::uint32_t>("fj-invested", 0, 1) == 1;
    context.after_backend_failure =
        extractor.number<std::uint32_t>("fj-after-failure", 0, 1) == 1U;
    context.weight =
        extractor.required_number<double>("fj-weight", 0.001, 1'000'000);
    context.applied_level =
        extractor.number<double>("fj-applied-level", 0, max_level).value_or(0);
    context.applied_below =
        extractor.number<double>("fj-applied-below", 0, max_level).value_or(0);
    context.applied_below_service =
        extractor.text("fj-applied-below-service").value_or(std::string());
    context.idempotency_key =
        extractor.text("fj-idempotency-key").value_or(std::string());
    if (!extractor.invalid_field().empty())
        return fail(
            errc::malformed, "read request context", {},
            extractor.invalid_field());
    return context;
}

void write_answer_metadata(
    header_fields& fields, const answer_metadata& metadata)
{
    add(fields, "fj-outcome", std::string(to_string(metadata.request_outcome)));
    if (metadata.reason)
        add(fields, "fj-reason", std::string(to_string(*metadata.reason)));
    if (metadata.retry_after_ms > 0)
        add(fields, "fj-retry-after-ms",
            fmt::format("{}", metadata.retry_after_ms));
    add(fields, "fj-retries-unspent",
        fmt::format("{}", metadata.retries_unspent));
    if (metadata.level)
        add(fields, "fj-level", fmt::format("{:.4f}", *metadata.level));
    if (metadata.downstream.refused)
        add(fields, "fj-below-refused", "1");
    if (metadata.downstream.level.level > 0) {
        add(fields, "fj-below-level",
            fmt::format("{:.4f}", metadata.downstream.level.level));
        add(fields, "fj-below-service", metadata.downstream.level.service);
    }
    if (metadata.load)
        add(fields, "fj-load", fmt::format("{:.3f}", *metadata.load));
}

result<answer_metadata> take_answer_metadata(header_fields& fields)
{
    field_extractor extractor(fields);
    answer_metadata metadata;
    metadata.request_outcome =
        extractor.required_name("fj-outcome", parse_outcome);
    if (const auto reason = extractor.text("fj-reason")) {
        metadata.reason = parse_refusal_reason(*reason);
        if (!metadata.reason)
            extractor.reject("fj-reason");
    }
    metadata.retry_after_ms =
        extractor.number<std::int64_t>("fj-retry-after-ms", 0, max_timeout_ms)
            .value_or(0);
    metadata.retries_unspent =
        extractor.number<std::uint32_t>("fj-retries-unspent", 0, max_retries)
            .value_or(0);
    metadata.level = extractor.number<double>("fj-level", 0, max_level);
    metadata.load = extractor.number<double>("fj-load", 0, 1);
    metadata.downstream.refused =
        extractor.number<std::uint32_t>("fj-below-refused", 0, 1) == 1u;
    metadata.downstream.level.level =
        extractor.number<double>("fj-below-level", 0, max_level).value_or(0);
    metadata.downstream.level.service =
        extractor.text("fj-below-service").value_or(std::string());
    if (!extractor.invalid_field().empty())
        return fail(
            errc::malformed, "read answer metadata", {},
            extractor.invalid_field());
    return metadata;
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

streamed_response
refusal_answer(const refusal& details, answer_metadata metadata)
{
    metadata.request_outcome = details.outcome;
    metadata.reason = details.reason;
    metadata.retry_after_ms = details.retry_after_ms;
    streamed_response answer;
    answer.status = http_status(details.reason);
    answer.content_length = 0;
    answer.body = empty_body();
    write_answer_metadata(answer.headers, metadata);
    return answer;
}

} // namespace fulmarjunction
