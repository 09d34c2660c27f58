/// @file
/// Tables of names for enumerations.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace fulmarjunction {

/// Maps the enumerators of `Enum` to their names and back.
template <class Enum, std::size_t Size>
struct enum_table
{
    std::array<std::pair<Enum, std::string_view>, Size> entries;

    /// Returns the name, or "?" for a value that is not in the table.
    constexpr std::string_view name(Enum value) const
    {
        for (const auto& entry : entries) {
            if (entry.first == value)
                return entry.second;
        }
        return "?";
    }

    /// Returns the enumerator with this name, if there is one.
    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const auto& entry : entries) {
            if (entry.second == name)
                return entry.first;
        }
        return std::nullopt;
    }
};

/// Builds a table from a list of `{enumerator, name}` pairs.
template <class Enum, std::size_t Size>
constexpr enum_table<Enum, Size>
make_enum_table(const std::pair<Enum, std::string_view> (&entries)[Size])
{
    enum_table<Enum, Size> table{};
    for (std::size_t i = 0; i != Size; ++i)
        table.entries[i] = entries[i];
    return table;
}

} // namespace fulmarjunction
