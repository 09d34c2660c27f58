#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/core/error.hpp>

#include <fmt/format.h>

namespace fulmarjunction {

namespace {

constexpr auto errc_names = make_enum_table<errc>({
    {errc::invalid_argument, "invalid_argument"},
    {errc::invalid_settings, "invalid_settings"},
    {errc::malformed, "malformed"},
    {errc::too_large, "too_large"},
    {errc::not_found, "not_found"},
    {errc::conflict, "conflict"},
    {errc::unauthorized, "unauthorized"},
    {errc::timeout, "timeout"},
    {errc::canceled, "canceled"},
    {errc::connection_failed, "connection_failed"},
    {errc::connection_broken, "connection_broken"},
    {errc::truncated, "truncated"},
    {errc::unavailable, "unavailable"},
    {errc::budget_exhausted, "budget_exhausted"},
    {errc::internal, "internal"},
});

} // namespace

std::string_view to_string(errc code)
{
    return errc_names.name(code);
}

std::string to_string(const error& failure)
{
    std::string text = failure.step;
    if (!failure.peer.empty())
        text += fmt::format(" [{}]", failure.peer);
    text += fmt::format(": {}", to_string(failure.code));
    if (!failure.detail.empty())
        text += fmt::format(": {}", failure.detail);
    return text;
}

} // namespace fulmarjunction
